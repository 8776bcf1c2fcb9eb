/** Forwards a request to agents of its service until one responds or no further attempt is allowed. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal, type ResultName } from '@jacinthlug/catalog/resultCodes';
import type { Permit } from '@jacinthlug/control/RateShares';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import { isBeforeDeadline, type OnlineRequest } from '../online/OnlineRequest.js';
import type { AgentState } from '../routing/AgentState.js';
import type { AgentTable } from '../routing/AgentTable.js';
import {
  Abandoned,
  type AttemptOutcome,
  type StreamedResponse,
  type CompleteResponse,
} from './AttemptOutcome.js';
import type { CrashRecorder } from './CrashRecorder.js';
import type { DataPath } from './DataPath.js';
import { getRetryRule, getRunState, type AttemptFailure, type RetryRule } from './retryRules.js';
import type { RetryBudget } from './RetryBudget.js';

/** Maximum number of attempts per request. Each kind of failure also has its own limit of retries. */
const MAX_ATTEMPTS = 4;

/** Number of target crashes after which a request is refused. */
const CRASH_REFUSAL_THRESHOLD = 2;

/** Result of forwarding a request. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly response: CompleteResponse }
  | {
      readonly kind: 'streaming';
      readonly response: StreamedResponse;
      /** Aborted with {@link Abandoned} when the stream is aborted. */
      readonly signal: AbortSignal;
      /** Must be called after the stream has ended. */
      readonly finish: () => void;
    }
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** Whether the request provably did not run on any target. */
      readonly notRun: boolean;
    };

/** Dependencies of {@link Forwarder}. */
export interface ForwarderDependencies {
  readonly agents: AgentTable;
  readonly dataPath: DataPath;
  readonly retryBudget: RetryBudget;
  readonly suspects: SuspectList;
  readonly crashRecorder: CrashRecorder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** State of one request across its attempts. */
interface ForwardProgress {
  readonly excludedAgents: Set<string>;
  /** Last failure and its retry rule. */
  lastFailure?: { readonly failure: AttemptFailure; readonly rule: RetryRule };
  /** Number of failed attempts by result code. */
  readonly failureCounts: Map<ResultName, number>;
  notRun: boolean;
}

interface StartedAttempt {
  readonly outcome: AttemptOutcome;
  readonly signal: AbortSignal;
  readonly finish: () => void;
}

const createFinalRefusal = (
  { lastFailure, notRun }: ForwardProgress,
  fallback: Refusal,
): ForwardResult => {
  if (!lastFailure) return { kind: 'refused', refusal: fallback, notRun };
  const { failure, rule } = lastFailure;
  const retryAfterSeconds = failure.kind === 'refused' ? failure.retryAfterSeconds : undefined;
  const refusal = refuse(rule.code, {
    run: notRun ? 'not run' : 'outcome unknown',
    ...(retryAfterSeconds !== undefined && { retryAfterSeconds }),
  });
  return { kind: 'refused', refusal, notRun };
};

const createRefusal = ({ notRun }: ForwardProgress, refusal: Refusal): ForwardResult => {
  if (notRun) return { kind: 'refused', refusal, notRun };
  return { kind: 'refused', refusal: { ...refusal, run: 'outcome unknown' }, notRun };
};

/** Creates the refusal of a request that was aborted before it was sent. */
const refuseAborted = ({ reason }: AbortSignal): Refusal => {
  const abortReason =
    (reason as unknown) instanceof Abandoned ? (reason as Abandoned).abortReason : undefined;
  const failure: AttemptFailure = {
    kind: 'abandoned',
    reason: abortReason ?? { kind: 'caller-gone' },
    sent: false,
  };
  return refuse(getRetryRule(failure).code, { run: getRunState(failure) });
};

/** Forwards requests to agents. */
export class Forwarder {
  constructor(private readonly dependencies: ForwarderDependencies) {}

  /**
   * Returns a refusal if the request has crashed too many targets.
   *
   * @param fingerprint - fingerprint of the request
   * @returns the refusal; undefined if the request may run
   */
  getCrashRefusal(fingerprint: string): Refusal | undefined {
    const crashes = this.dependencies.suspects.find(fingerprint)?.crashes ?? 0;
    return crashes >= CRASH_REFUSAL_THRESHOLD ? refuse('request-crashed-targets') : undefined;
  }

  /**
   * Forwards a request.
   *
   * @param request - the request
   * @param permit - rate share that was charged for it; undefined on open routes
   * @param signal - aborted with {@link Abandoned} to abort the request
   * @returns the response or a refusal; never throws
   */
  async forward(
    request: OnlineRequest,
    permit: Permit | undefined,
    signal: AbortSignal,
  ): Promise<ForwardResult> {
    this.dependencies.retryBudget.countRequest();
    const progress: ForwardProgress = {
      excludedAgents: new Set(),
      failureCounts: new Map(),
      notRun: true,
    };
    for (;;) {
      const refusal = this.checkBeforeSend(request, signal);
      if (refusal) return createRefusal(progress, refusal);
      const agent = this.chooseAgent(request, progress);
      if (!agent) return createFinalRefusal(progress, refuse('no-target'));
      if (progress.lastFailure) this.recordRetry(request, progress.lastFailure.rule);
      const attempt = await this.runAttempt(request, agent, permit, signal);
      const { outcome } = attempt;
      if (outcome.kind === 'stream') {
        this.dependencies.agents.recordSuccess(agent);
        return {
          kind: 'streaming',
          response: outcome,
          signal: attempt.signal,
          finish: attempt.finish,
        };
      }
      attempt.finish();
      if (outcome.kind === 'whole') {
        this.dependencies.agents.recordSuccess(agent);
        return { kind: 'answered', response: outcome };
      }
      await this.recordFailure(request, agent, outcome, progress);
      const crashRefusal = this.getCrashRefusal(request.fingerprint);
      if (crashRefusal) return createRefusal(progress, crashRefusal);
      if (!this.mayRetry(request, progress))
        return createFinalRefusal(progress, refuse('no-target'));
    }
  }

  /** Returns a refusal if the request must not be sent any more. Called right before each attempt. */
  private checkBeforeSend(request: OnlineRequest, signal: AbortSignal): Refusal | undefined {
    if (signal.aborted) {
      return refuseAborted(signal);
    }
    if (!isBeforeDeadline(request)) return refuse('deadline-passed-in-queue');
    const allowed = request.checkAllowed();
    return allowed.isErr() ? allowed.error : this.getCrashRefusal(request.fingerprint);
  }

  private chooseAgent(
    request: OnlineRequest,
    { excludedAgents }: ForwardProgress,
  ): AgentState | undefined {
    const allowed = request.checkAllowed();
    if (allowed.isErr()) return undefined;
    const { service, model, promptPrefix } = request;
    return this.dependencies.agents.choose({
      service,
      model,
      promptPrefix,
      excludedAgents,
      configuration: allowed.value,
    });
  }

  private recordRetry(request: OnlineRequest, { code }: RetryRule): void {
    this.dependencies.metrics.count('requests.retried', { reason: code });
    this.dependencies.journal.record('request-retried', {
      request: request.requestId,
      reason: code,
    });
  }

  private async runAttempt(
    request: OnlineRequest,
    agent: AgentState,
    permit: Permit | undefined,
    signal: AbortSignal,
  ): Promise<StartedAttempt> {
    const controller = new AbortController();
    const forwardAbort = () => controller.abort(signal.reason);
    signal.addEventListener('abort', forwardAbort);
    // A request that may run only once gains nothing from an early abort: its response may still arrive.
    if (request.repeatable) agent.runningAttempts.add(controller);
    agent.recordSend(performance.now());
    const outcome = await this.dependencies.dataPath.runAttempt(request, {
      address: agent.member.address,
      version: request
        .checkAllowed()
        .map(({ version }) => version)
        .unwrapOr(0),
      ...(permit && { permit }),
      isSuspect: this.dependencies.suspects.find(request.fingerprint) !== undefined,
      signal: controller.signal,
      onLoadReport: (report) => this.dependencies.agents.applyReport(agent, report),
    });
    const finish = () => {
      signal.removeEventListener('abort', forwardAbort);
      agent.runningAttempts.delete(controller);
    };
    return { outcome, signal: controller.signal, finish };
  }

  private async recordFailure(
    request: OnlineRequest,
    agent: AgentState,
    failure: AttemptFailure,
    progress: ForwardProgress,
  ): Promise<void> {
    const { agents, crashRecorder, journal } = this.dependencies;
    const { name } = agent.member;
    const rule = getRetryRule(failure);
    Object.assign(progress, { lastFailure: { failure, rule } });
    progress.excludedAgents.add(name);
    progress.failureCounts.set(rule.code, (progress.failureCounts.get(rule.code) ?? 0) + 1);
    if (getRunState(failure) === 'outcome unknown') Object.assign(progress, { notRun: false });
    if (rule.opensCircuit) agents.recordFailure(agent);
    if (failure.kind === 'refused') agents.recordSuccess(agent);
    if (rule.marksDraining) agent.markDraining();
    if (failure.kind === 'mismatched') {
      journal.record('answer-mismatched', { agent: name, request: request.requestId });
    }
    if (failure.kind === 'refused' && failure.crash) {
      await crashRecorder.recordFromResponse(failure.crash, request.fingerprint);
    }
  }

  private mayRetry(request: OnlineRequest, progress: ForwardProgress): boolean {
    const { lastFailure, failureCounts, notRun, excludedAgents } = progress;
    // Each kind of failure is counted on its own: an overload after an unreachable agent is the first overload.
    if (!lastFailure || (failureCounts.get(lastFailure.rule.code) ?? 0) > lastFailure.rule.retries)
      return false;
    if (excludedAgents.size >= MAX_ATTEMPTS || !isBeforeDeadline(request)) return false;
    // Only attempts that may have run add load to targets, so other retries do not consume the budget.
    return notRun || (request.repeatable && this.dependencies.retryBudget.tryAcquireRetry());
  }
}
