/** Forwards a request to agents of its service until one answers or the rules end it. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal, type ResultName } from '@jacinthlug/catalog/resultCodes';
import type { Permit } from '@jacinthlug/control/RateShares';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import { isInTime, type OnlineRequest } from '../online/OnlineRequest.js';
import type { AgentState } from '../routing/AgentState.js';
import type { AgentTable } from '../routing/AgentTable.js';
import { Abandoned, type Attempt, type StreamedAnswer, type WholeAnswer } from './Attempt.js';
import type { CrashRecorder } from './CrashRecorder.js';
import type { DataPath } from './DataPath.js';
import { ruleOf, runStateOf, type Failure, type RetryRule } from './retryRules.js';
import type { RetryBudget } from './RetryBudget.js';

/** Agents that may get one request: each kind of failure bounds its own retries, this one all together. */
const MOST_ATTEMPTS = 4;

/** Crashes of targets after which a request is refused. */
const CONFIRMING_CRASHES = 2;

/** What became of a request. */
export type Forwarded =
  | { readonly kind: 'answered'; readonly answer: WholeAnswer }
  | {
      readonly kind: 'streaming';
      readonly answer: StreamedAnswer;
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
export interface ForwarderNeeds {
  readonly agents: AgentTable;
  readonly dataPath: DataPath;
  readonly budget: RetryBudget;
  readonly suspects: SuspectList;
  readonly crashes: CrashRecorder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** What is kept about one request while it is tried. */
interface Progress {
  readonly excluded: Set<string>;
  /** The last failure with its rule. */
  last?: { readonly failure: Failure; readonly rule: RetryRule };
  /** Failed attempts by result code. */
  readonly failures: Map<ResultName, number>;
  notRun: boolean;
}

interface Running {
  readonly attempt: Attempt;
  readonly signal: AbortSignal;
  readonly finish: () => void;
}

const endingOf = ({ last, notRun }: Progress, fallback: Refusal): Forwarded => {
  if (!last) return { kind: 'refused', refusal: fallback, notRun };
  const { failure, rule } = last;
  const retryAfterSeconds = failure.kind === 'refused' ? failure.retryAfterSeconds : undefined;
  const refusal = refuse(rule.code, {
    run: notRun ? 'not run' : 'outcome unknown',
    ...(retryAfterSeconds !== undefined && { retryAfterSeconds }),
  });
  return { kind: 'refused', refusal, notRun };
};

const refuseWith = ({ notRun }: Progress, refusal: Refusal): Forwarded => {
  if (notRun) return { kind: 'refused', refusal, notRun };
  return { kind: 'refused', refusal: { ...refusal, run: 'outcome unknown' }, notRun };
};

/** Refuses a request that was given up before it was sent. */
const refuseAbandoned = ({ reason }: AbortSignal): Refusal => {
  const cause =
    (reason as unknown) instanceof Abandoned ? (reason as Abandoned).abandonCause : undefined;
  const failure: Failure = {
    kind: 'abandoned',
    cause: cause ?? { kind: 'caller-gone' },
    sent: false,
  };
  return refuse(ruleOf(failure).code, { run: runStateOf(failure) });
};

/** Forwards requests to agents. */
export class Forwarder {
  constructor(private readonly needs: ForwarderNeeds) {}

  /**
   * Refuses a request that has crashed targets before.
   *
   * @param fingerprint - fingerprint of the request
   * @returns the refusal, or nothing
   */
  findBlock(fingerprint: string): Refusal | undefined {
    const crashes = this.needs.suspects.find(fingerprint)?.crashes ?? 0;
    return crashes >= CONFIRMING_CRASHES ? refuse('request-crashed-targets') : undefined;
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
  ): Promise<Forwarded> {
    this.needs.budget.countRequest();
    const progress: Progress = { excluded: new Set(), failures: new Map(), notRun: true };
    for (;;) {
      const refusal = this.findObstacle(request, signal);
      if (refusal) return refuseWith(progress, refusal);
      const agent = this.chooseAgent(request, progress);
      if (!agent) return endingOf(progress, refuse('no-target'));
      if (progress.last) this.recordRetry(request, progress.last.rule);
      const running = await this.attempt(request, agent, permit, signal);
      const { attempt } = running;
      if (attempt.kind === 'stream') {
        this.needs.agents.succeed(agent);
        return {
          kind: 'streaming',
          answer: attempt,
          signal: running.signal,
          finish: running.finish,
        };
      }
      running.finish();
      if (attempt.kind === 'whole') {
        this.needs.agents.succeed(agent);
        return { kind: 'answered', answer: attempt };
      }
      await this.digest(request, agent, attempt, progress);
      const block = this.findBlock(request.fingerprint);
      if (block) return refuseWith(progress, block);
      if (!this.mayRetry(request, progress)) return endingOf(progress, refuse('no-target'));
    }
  }

  /** Looks for reasons not to send the request, right before it would be sent. */
  private findObstacle(request: OnlineRequest, signal: AbortSignal): Refusal | undefined {
    if (signal.aborted) {
      return refuseAbandoned(signal);
    }
    if (!isInTime(request)) return refuse('deadline-passed-in-queue');
    const confirmed = request.confirm();
    return confirmed.isErr() ? confirmed.error : this.findBlock(request.fingerprint);
  }

  private chooseAgent(request: OnlineRequest, { excluded }: Progress): AgentState | undefined {
    const confirmed = request.confirm();
    if (confirmed.isErr()) return undefined;
    const { service, model, promptPrefix } = request;
    return this.needs.agents.choose({
      service,
      model,
      promptPrefix,
      excluded,
      catalogue: confirmed.value,
    });
  }

  private recordRetry(request: OnlineRequest, { code }: RetryRule): void {
    this.needs.metrics.count('requests.retried', { reason: code });
    this.needs.journal.record('request-retried', { request: request.requestId, reason: code });
  }

  private async attempt(
    request: OnlineRequest,
    agent: AgentState,
    permit: Permit | undefined,
    signal: AbortSignal,
  ): Promise<Running> {
    const controller = new AbortController();
    const passOn = () => controller.abort(signal.reason);
    signal.addEventListener('abort', passOn);
    // A request that may run once gains nothing when it is given up early: its answer may still come.
    if (request.repeatable) agent.running.add(controller);
    agent.begin(performance.now());
    const attempt = await this.needs.dataPath.attempt(request, {
      address: agent.member.address,
      version: request
        .confirm()
        .map(({ version }) => version)
        .unwrapOr(0),
      ...(permit && { permit }),
      suspect: this.needs.suspects.find(request.fingerprint) !== undefined,
      signal: controller.signal,
      onLoad: (report) => this.needs.agents.hear(agent, report),
    });
    const finish = () => {
      signal.removeEventListener('abort', passOn);
      agent.running.delete(controller);
    };
    return { attempt, signal: controller.signal, finish };
  }

  private async digest(
    request: OnlineRequest,
    agent: AgentState,
    failure: Failure,
    progress: Progress,
  ): Promise<void> {
    const { agents, crashes, journal } = this.needs;
    const { name } = agent.member;
    const rule = ruleOf(failure);
    Object.assign(progress, { last: { failure, rule } });
    progress.excluded.add(name);
    progress.failures.set(rule.code, (progress.failures.get(rule.code) ?? 0) + 1);
    if (runStateOf(failure) === 'outcome unknown') Object.assign(progress, { notRun: false });
    if (rule.opensCircuit) agents.fail(agent);
    if (failure.kind === 'refused') agents.succeed(agent);
    if (rule.leaving) agent.markLeaving();
    if (failure.kind === 'mismatched') {
      journal.record('answer-mismatched', { agent: name, request: request.requestId });
    }
    if (failure.kind === 'refused' && failure.crash) {
      await crashes.recordAnswered(failure.crash, request.fingerprint);
    }
  }

  private mayRetry(request: OnlineRequest, progress: Progress): boolean {
    const { last, failures, notRun, excluded } = progress;
    // An overload after an agent that is gone is the first overload, so kinds are counted apart.
    if (!last || (failures.get(last.rule.code) ?? 0) > last.rule.retries) return false;
    if (excluded.size >= MOST_ATTEMPTS || !isInTime(request)) return false;
    // Only runs cost a target something; the budget is not spent on requests that have not run.
    return notRun || (request.repeatable && this.needs.budget.takeRetry());
  }
}
