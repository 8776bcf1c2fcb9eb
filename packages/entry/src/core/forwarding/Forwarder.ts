/** Forwards a request to agents of its service until one answers or the rules end it. */
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

/** Agents that may get one request: each kind of failure bounds its own retries, this one all together. */
const MAX_ATTEMPTS = 4;

/** Crashes of targets after which a request is refused. */
const CRASH_REFUSAL_THRESHOLD = 2;

/** What became of a request. */
export type ForwardResult =
  | { readonly kind: 'answered'; readonly response: CompleteResponse }
  | {
      readonly kind: 'streaming';
      readonly answer: StreamedResponse;
      /** Aborted with the reason when the stream is given up. */
      readonly signal: AbortSignal;
      /** Must be called when the stream has ended. */
      readonly finish: () => void;
    }
  | {
      readonly kind: 'refused';
      readonly refusal: Refusal;
      /** Whether no target can have got the request. */
      readonly notRun: boolean;
    };

/** What the forwarder needs. */
export interface ForwarderDependencies {
  readonly agents: AgentTable;
  readonly dataPath: DataPath;
  readonly retryBudget: RetryBudget;
  readonly suspects: SuspectList;
  readonly crashRecorder: CrashRecorder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** What is kept about one request while it is tried. */
interface ForwardProgress {
  readonly excludedAgents: Set<string>;
  /** The last failure with its rule. */
  last?: { readonly failure: AttemptFailure; readonly rule: RetryRule };
  /** Failed attempts by result code. */
  readonly failureCounts: Map<ResultName, number>;
  notRun: boolean;
}

interface StartedAttempt {
  readonly outcome: AttemptOutcome;
  readonly signal: AbortSignal;
  readonly finish: () => void;
}

const createFinalRefusal = (
  { last, notRun }: ForwardProgress,
  fallback: Refusal,
): ForwardResult => {
  if (!last) return { kind: 'refused', refusal: fallback, notRun };
  const { failure, rule } = last;
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

/** Refuses a request that was given up before it was sent. */
const refuseAborted = ({ reason }: AbortSignal): Refusal => {
  const cause =
    (reason as unknown) instanceof Abandoned ? (reason as Abandoned).abortReason : undefined;
  const failure: AttemptFailure = {
    kind: 'abandoned',
    reason: cause ?? { kind: 'caller-gone' },
    sent: false,
  };
  return refuse(getRetryRule(failure).code, { run: getRunState(failure) });
};

/** Forwards requests to agents. */
export class Forwarder {
  constructor(private readonly dependencies: ForwarderDependencies) {}

  /**
   * Refuses a request that has crashed targets before.
   *
   * @param fingerprint - fingerprint of the request
   * @returns the refusal, or nothing
   */
  getCrashRefusal(fingerprint: string): Refusal | undefined {
    const crashes = this.dependencies.suspects.find(fingerprint)?.crashes ?? 0;
    return crashes >= CRASH_REFUSAL_THRESHOLD ? refuse('request-crashed-targets') : undefined;
  }

  /**
   * Forwards a request.
   *
   * @param request - the request
   * @param permit - rate share that it was counted against; absent on open routes
   * @param signal - aborted with {@link Abandoned} when the request is given up
   * @returns the answer, or a refusal; never throws
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
      if (progress.last) this.recordRetry(request, progress.last.rule);
      const running = await this.runAttempt(request, agent, permit, signal);
      const { outcome: attempt } = running;
      if (attempt.kind === 'stream') {
        this.dependencies.agents.recordSuccess(agent);
        return {
          kind: 'streaming',
          answer: attempt,
          signal: running.signal,
          finish: running.finish,
        };
      }
      running.finish();
      if (attempt.kind === 'whole') {
        this.dependencies.agents.recordSuccess(agent);
        return { kind: 'answered', response: attempt };
      }
      await this.recordFailure(request, agent, attempt, progress);
      const block = this.getCrashRefusal(request.fingerprint);
      if (block) return createRefusal(progress, block);
      if (!this.mayRetry(request, progress))
        return createFinalRefusal(progress, refuse('no-target'));
    }
  }

  /** Looks for reasons not to send the request, right before it would be sent. */
  private checkBeforeSend(request: OnlineRequest, signal: AbortSignal): Refusal | undefined {
    if (signal.aborted) {
      return refuseAborted(signal);
    }
    if (!isBeforeDeadline(request)) return refuse('deadline-passed-in-queue');
    const confirmed = request.confirm();
    return confirmed.isErr() ? confirmed.error : this.getCrashRefusal(request.fingerprint);
  }

  private chooseAgent(
    request: OnlineRequest,
    { excludedAgents: excluded }: ForwardProgress,
  ): AgentState | undefined {
    const confirmed = request.confirm();
    if (confirmed.isErr()) return undefined;
    const { service, model, promptPrefix } = request;
    return this.dependencies.agents.choose({
      service,
      model,
      promptPrefix,
      excludedAgents: excluded,
      configuration: confirmed.value,
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
    const passOn = () => controller.abort(signal.reason);
    signal.addEventListener('abort', passOn);
    // A request that may run once gains nothing when it is given up early: its answer may still come.
    if (request.repeatable) agent.runningAttempts.add(controller);
    agent.recordSend(performance.now());
    const attempt = await this.dependencies.dataPath.runAttempt(request, {
      address: agent.member.address,
      version: request
        .confirm()
        .map(({ version }) => version)
        .unwrapOr(0),
      ...(permit && { permit }),
      isSuspect: this.dependencies.suspects.find(request.fingerprint) !== undefined,
      signal: controller.signal,
      onLoadReport: (report) => this.dependencies.agents.applyReport(agent, report),
    });
    const finish = () => {
      signal.removeEventListener('abort', passOn);
      agent.runningAttempts.delete(controller);
    };
    return { outcome: attempt, signal: controller.signal, finish };
  }

  private async recordFailure(
    request: OnlineRequest,
    agent: AgentState,
    failure: AttemptFailure,
    progress: ForwardProgress,
  ): Promise<void> {
    const { agents, crashRecorder: crashes, journal } = this.dependencies;
    const { name } = agent.member;
    const rule = getRetryRule(failure);
    Object.assign(progress, { last: { failure, rule } });
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
      await crashes.recordFromResponse(failure.crash, request.fingerprint);
    }
  }

  private mayRetry(request: OnlineRequest, progress: ForwardProgress): boolean {
    const { last, failureCounts: failures, notRun, excludedAgents: excluded } = progress;
    // An overload after an agent that is gone is the first overload, so kinds are counted apart.
    if (!last || (failures.get(last.rule.code) ?? 0) > last.rule.retries) return false;
    if (excluded.size >= MAX_ATTEMPTS || !isBeforeDeadline(request)) return false;
    // Only runs cost a target something; the budget is not spent on requests that have not run.
    return notRun || (request.repeatable && this.dependencies.retryBudget.tryAcquireRetry());
  }
}
