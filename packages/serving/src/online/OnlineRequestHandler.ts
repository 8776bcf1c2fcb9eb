/** Serves one online request from its arrival to its end. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Account, Route } from '../configuration/ServingConfiguration.js';
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import type { Target } from '../fleet/Target.js';
import type { CallerHead, Dialect } from '../http/Dialect.js';
import { readBody } from '../http/readBody.js';
import type { TargetClient } from '../http/TargetClient.js';
import { writeRefusal } from '../http/writeRefusal.js';
import type { AccountRateLimiter } from '../rates/AccountRateLimiter.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import { admitCaller } from './admitCaller.js';
import { computeFingerprint, type ConnectionFailureTracker } from './ConnectionFailureTracker.js';
import { CallerResponse } from './CallerResponse.js';
import { RequestProgress } from './RequestProgress.js';
import { RequestLifetime } from './RequestLifetime.js';
import { isTargetFault, runAttempt, type AttemptOutcome } from './runAttempt.js';

/** Sends that may end with proof that the request has not run. */
const MAX_ATTEMPTS_NOT_RUN = 4;

/**
 * Silence before the first event after which a repeatable request goes elsewhere, as a multiple of the
 * objective. Callers leave after two seconds or four objectives, so a second target still has half of it.
 */
const HEAD_TIMEOUT_OBJECTIVES = 3;

/** Least silence before the first event that counts. Unit: ms. */
const MIN_HEAD_TIMEOUT_MS = 800;

/**
 * Silence inside an answer after which a stream goes on elsewhere, as a multiple of the objective for pauses: a
 * loaded target pauses for two or three of them. Callers leave after eight, but not before two seconds.
 */
const BODY_IDLE_TIMEOUT_OBJECTIVES = 4;

/** Least silence inside an answer that counts. Unit: ms. */
const MIN_BODY_IDLE_TIMEOUT_MS = 800;

/** Longest silence inside an answer, so that another target can go on before the caller leaves. Unit: ms. */
const MAX_BODY_IDLE_TIMEOUT_MS = 1400;

/** Status with which a target says that it failed; 504 only says that the deadline came. */
const FAILED_STATUS = 500;

/** Largest answer to a caller, which also ends a stream of sound events without end. Unit: bytes. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Bounds of the time after which a caller may come back to a full fleet. Unit: seconds. */
const OVERLOAD_RETRY_SECONDS = { least: 0.3, most: 1.1 } as const;

/** Time after which a caller may come back when no target is there. Unit: seconds. */
const NO_TARGET_RETRY_SECONDS = 0.5;

/** What the online path needs. */
export interface OnlineRequestHandlerDependencies {
  readonly view: ConfigurationView;
  readonly router: TargetRouter;
  readonly loadTable: LoadTable;
  readonly connectionFailures: ConnectionFailureTracker;
  readonly health: TargetHealth;
  readonly rates: AccountRateLimiter;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Called when other hosts must learn of the use of a rate at once. */
  readonly onLowRate: () => void;
  /** Called when a request has been placed at a target. */
  readonly onPlaced: (target: Target) => void;
  readonly drainingTargets: DrainingTargets;
}

/** A request with what was found out about it. */
interface OnlineRequest {
  readonly message: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: string;
  readonly body: Buffer;
  readonly lifetime: RequestLifetime;
  readonly callerResponse: CallerResponse;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  readonly arrivedAt: number;
}

/** How a request ended. */
type RequestOutcome =
  | { readonly kind: 'complete'; readonly status: number; readonly target: Target }
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** The answer had begun and cannot go on. */
  | { readonly kind: 'cut'; readonly cause: string }
  | { readonly kind: 'caller-gone' };

const pickService = (route: Route): string => {
  const total = route.services.reduce((sum, { weight }) => sum + weight, 0);
  let draw = Math.random() * total;
  const found = route.services.find(({ weight }) => {
    draw -= weight;
    return draw < 0;
  });
  return (found ?? route.services[0]!).service;
};

const toRequestContent = ({ account, head, body }: OnlineRequest) => ({
  account: account?.name,
  path: head.path,
  body,
});

const getBodyIdleTimeoutMs = ({ pauseObjectiveMs }: Route): number =>
  Math.min(
    MAX_BODY_IDLE_TIMEOUT_MS,
    Math.max(MIN_BODY_IDLE_TIMEOUT_MS, pauseObjectiveMs * BODY_IDLE_TIMEOUT_OBJECTIVES),
  );

const isRepeatable = ({ kind, resumable }: Route): boolean =>
  kind === 'idempotent' || (kind === 'streaming' && resumable);

/** Another target can go on after whole events, unless what was passed on cannot be the answer. */
const canContinue = (answer: CallerResponse, { kind }: AttemptOutcome): boolean =>
  answer.canContinue && !(answer.started && kind === 'overlong');

const drawRetrySeconds = (): number =>
  OVERLOAD_RETRY_SECONDS.least +
  Math.random() * (OVERLOAD_RETRY_SECONDS.most - OVERLOAD_RETRY_SECONDS.least);

const refuseAfterFailures = ({ possibleRuns: mayHaveRun }: RequestProgress): Refusal =>
  mayHaveRun > 0
    ? refuse('target-failed')
    : refuse('no-target', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS });

const endAborted = (
  { lifetime: life, callerResponse: answer }: OnlineRequest,
  { possibleRuns: mayHaveRun }: RequestProgress,
): RequestOutcome => {
  if (life.abortReason === 'caller-gone') return { kind: 'caller-gone' };
  if (answer.started) return { kind: 'cut', cause: 'deadline' };
  const refusal = mayHaveRun > 0 ? refuse('deadline-passed') : refuse('deadline-passed-in-queue');
  return { kind: 'refused', refusal };
};

/** Refusals by why there is no target. */
const refusalsWithoutTarget = {
  full: () => refuse('overloaded', { retryAfterSeconds: drawRetrySeconds() }),
  none: () => refuse('no-target', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS }),
};

const endWithoutTarget = (
  kind: keyof typeof refusalsWithoutTarget,
  { callerResponse: answer }: OnlineRequest,
  progress: RequestProgress,
): RequestOutcome => {
  if (answer.started) return { kind: 'cut', cause: 'no other target' };
  const refusal =
    progress.possibleRuns > 0 ? refuseAfterFailures(progress) : refusalsWithoutTarget[kind]();
  return { kind: 'refused', refusal };
};

/** Serves online requests. */
export class OnlineRequestHandler {
  /** Requests in progress. */
  running = 0;

  constructor(private readonly dependencies: OnlineRequestHandlerDependencies) {}

  /**
   * Serves a request.
   *
   * @param message - the caller's request
   * @param response - its response
   * @param head - what the request says of itself
   */
  async serve(message: IncomingMessage, response: ServerResponse, head: CallerHead): Promise<void> {
    this.running += 1;
    try {
      await this.serveRequest(message, response, head);
    } finally {
      this.running -= 1;
    }
  }

  private async serveRequest(
    message: IncomingMessage,
    response: ServerResponse,
    head: CallerHead,
  ): Promise<void> {
    const { view } = this.dependencies;
    const arrivedAt = performance.now();
    const admitted = admitCaller(view, head);
    if (admitted.isErr()) {
      this.refuse(response, head, admitted.error);
      return;
    }
    const { route, account } = admitted.value;
    const waitMs = Math.min(head.waitMs ?? route.timeoutMs, route.timeoutMs);
    const life = new RequestLifetime(response, arrivedAt + waitMs);
    try {
      const body = await readBody(message, view.directory!.configuration.limits.bodyBytes);
      if (body.isErr()) {
        this.refuse(response, head, body.error);
        return;
      }
      if (!body.value) return;
      const repeatable = isRepeatable(route);
      const request: OnlineRequest = {
        message,
        head,
        route,
        account,
        service: pickService(route),
        body: body.value,
        lifetime: life,
        callerResponse: new CallerResponse(response, repeatable && route.kind === 'streaming'),
        repeatable,
        arrivedAt,
      };
      this.finish(request, response, await this.run(request));
    } finally {
      life.end();
    }
  }

  /** Tries targets until one has answered whole or the rules end it. */
  private async run(request: OnlineRequest): Promise<RequestOutcome> {
    if (this.isBlocked(request)) {
      return { kind: 'refused', refusal: refuse('request-breaks-targets') };
    }
    const overRate = this.consumeRate(request);
    if (overRate) return { kind: 'refused', refusal: overRate };
    const progress = new RequestProgress();
    const ending = await this.tryTargets(request, progress);
    if (progress.possibleRuns === 0 && request.account)
      this.dependencies.rates.refund(request.account);
    return ending;
  }

  private async tryTargets(
    request: OnlineRequest,
    progress: RequestProgress,
  ): Promise<RequestOutcome> {
    const { lifetime: life, callerResponse: answer, repeatable, route } = request;
    for (;;) {
      if (life.abortReason) return endAborted(request, progress);
      const chosen = this.dependencies.router.chooseForOnline(
        request.service,
        progress.excludedTargets,
      );
      if (chosen.kind !== 'target') return endWithoutTarget(chosen.kind, request, progress);
      const { target } = chosen;
      progress.countAttempt();
      const end = await this.attempt(request, target, progress);
      if (end.kind === 'complete') {
        progress.countPossibleRun();
        return { kind: 'complete', status: end.status, target };
      }
      this.recordFailedAttempt(request, target, end, progress);
      if (end.kind === 'given-up') return endAborted(request, progress);
      const mayGoOn =
        end.kind === 'not-run'
          ? progress.attempts < MAX_ATTEMPTS_NOT_RUN
          : repeatable && canContinue(answer, end) && progress.possibleRuns < route.attempts;
      if (!mayGoOn) {
        if (answer.started) return { kind: 'cut', cause: end.kind };
        return { kind: 'refused', refusal: refuseAfterFailures(progress) };
      }
      this.dependencies.metrics.count('requests.retried', { reason: end.kind });
    }
  }

  private async attempt(
    request: OnlineRequest,
    target: Target,
    progress: RequestProgress,
  ): Promise<AttemptOutcome> {
    const { client, dialect, loadTable: loads, health, router } = this.dependencies;
    const {
      head,
      route,
      account,
      lifetime: life,
      callerResponse: answer,
      message,
      body,
      repeatable,
    } = request;
    const mayRunElsewhere = (): boolean =>
      repeatable &&
      progress.possibleRuns + 1 < route.attempts &&
      router.hasAlternative(request.service, new Set(progress.excludedTargets).add(target.id));
    const endLoad = loads.beginRequest(target.id, 'online');
    this.dependencies.onPlaced(target);
    const end = await runAttempt({
      client,
      dialect,
      target,
      requestId: head.id,
      request: {
        method: message.method ?? 'GET',
        path: head.path,
        headers: dialect.buildTargetHeaders(message.rawHeaders, {
          target,
          account: account?.name,
          remainingMs: life.remainingMs,
          resumeAfter: answer.lastEventId,
        }),
        body: body.length > 0 ? body : null,
      },
      sink: answer,
      signal: life.signal,
      headTimeoutMs: Math.max(MIN_HEAD_TIMEOUT_MS, route.objectiveMs * HEAD_TIMEOUT_OBJECTIVES),
      bodyIdleTimeoutMs: getBodyIdleTimeoutMs(route),
      onIdleTimeout: () => {
        health.recordFailure(target.id, 'silent');
        return mayRunElsewhere();
      },
      onResponse: (status) => {
        if (status === FAILED_STATUS) health.recordFailure(target.id, `status ${status}`);
        else health.recordSuccess(target.id);
      },
      onDraining: () => this.dependencies.drainingTargets.add(target),
      shouldRetryStatus: (status) => status === FAILED_STATUS && mayRunElsewhere(),
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    endLoad();
    return end;
  }

  private recordFailedAttempt(
    request: OnlineRequest,
    target: Target,
    end: AttemptOutcome,
    progress: RequestProgress,
  ): void {
    const { health, journal, connectionFailures: breaks } = this.dependencies;
    progress.excludedTargets.add(target.id);
    if (end.kind === 'broken')
      breaks.recordFailure(computeFingerprint(toRequestContent(request)), performance.now());
    if (end.kind !== 'not-run') progress.countPossibleRun();
    if (isTargetFault(end)) health.recordFailure(target.id, end.cause);
    journal.record('attempt-failed', {
      request: request.head.id,
      target: target.id,
      kind: end.kind,
      ...('cause' in end && { cause: end.cause }),
      lastEventId: request.callerResponse.lastEventId,
      sends: progress.attempts,
    });
  }

  private isBlocked(request: OnlineRequest): boolean {
    const { connectionFailures: breaks } = this.dependencies;
    if (breaks.isEmpty) return false;
    return breaks.isBlocked(computeFingerprint(toRequestContent(request)), performance.now());
  }

  private consumeRate({ account }: OnlineRequest): Refusal | undefined {
    if (!account) return undefined;
    const { rates, onLowRate } = this.dependencies;
    const waitMs = rates.take(account);
    if (rates.isLow(account)) onLowRate();
    if (waitMs === 0) return undefined;
    return refuse('rate-exceeded', { retryAfterSeconds: Math.max(0.1, waitMs / 1000) });
  }

  private finish(request: OnlineRequest, response: ServerResponse, ending: RequestOutcome): void {
    const { head, route, callerResponse: answer, arrivedAt } = request;
    const { journal, metrics, view } = this.dependencies;
    const facts = {
      request: head.id,
      route: route.name,
      account: request.account?.name,
      configuration: view.directory?.configuration.version,
      configurationAgeMs: Math.round(view.age),
      firstMs: Math.round(answer.timeToFirstWriteMs(arrivedAt) ?? -1),
      longestPauseMs: Math.round(answer.longestPauseMs),
      tookMs: Math.round(performance.now() - arrivedAt),
    };
    if (ending.kind === 'refused') {
      this.refuse(response, head, ending.refusal, facts);
      return;
    }
    if (ending.kind === 'complete') {
      answer.end();
      metrics.count('requests.completed', { route: route.name });
      metrics.observe('requests.first', answer.timeToFirstWriteMs(arrivedAt) ?? 0);
      metrics.observe('requests.total', performance.now() - arrivedAt);
      journal.record('request-served', {
        ...facts,
        target: ending.target.id,
        status: ending.status,
      });
      return;
    }
    answer.destroy();
    const reason = ending.kind === 'cut' ? ending.cause : ending.kind;
    metrics.count('streams.cut', { reason });
    journal.record('answer-cut', { ...facts, reason, lastEventId: answer.lastEventId });
  }

  private refuse(
    response: ServerResponse,
    head: CallerHead,
    refusal: Refusal,
    facts?: Readonly<Record<string, unknown>>,
  ): void {
    const { view } = this.dependencies;
    const decided = facts ?? {
      configuration: view.directory?.configuration.version,
      configurationAgeMs: Math.round(view.age),
    };
    writeRefusal(response, { requestId: head.id, refusal, facts: decided }, this.dependencies);
  }
}
