/** Serves one online request from its arrival to its end. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Account, Route } from '../configuration/ServingConfiguration.js';
import type { Departures } from '../fleet/Departures.js';
import type { Target } from '../fleet/Target.js';
import type { CallerHead, Dialect } from '../http/Dialect.js';
import { readBody } from '../http/readBody.js';
import type { TargetClient } from '../http/TargetClient.js';
import { writeRefusal } from '../http/writeRefusal.js';
import type { AccountRates } from '../rates/AccountRates.js';
import type { LoadBook } from '../routing/LoadBook.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import { admitCaller } from './admitCaller.js';
import { fingerprintOf, type BreakBook } from './BreakBook.js';
import { CallerAnswer } from './CallerAnswer.js';
import { Progress } from './Progress.js';
import { RequestLife } from './RequestLife.js';
import { isTargetFault, sendOnce, type AttemptEnd } from './sendOnce.js';

/** Sends that may end with proof that the request has not run. */
const FRUITLESS_SENDS = 4;

/**
 * Silence before the first event after which a repeatable request goes elsewhere, as a multiple of the
 * objective. Callers leave after two seconds or four objectives, so a second target still has half of it.
 */
const FIRST_SILENCE_OBJECTIVES = 3;

/** Least silence before the first event that counts. Unit: ms. */
const FIRST_SILENCE_MIN_MS = 800;

/**
 * Silence inside an answer after which a stream goes on elsewhere, as a multiple of the objective for pauses: a
 * loaded target pauses for two or three of them. Callers leave after eight, but not before two seconds.
 */
const NEXT_SILENCE_OBJECTIVES = 4;

/** Least silence inside an answer that counts. Unit: ms. */
const NEXT_SILENCE_MIN_MS = 800;

/** Longest silence inside an answer, so that another target can go on before the caller leaves. Unit: ms. */
const NEXT_SILENCE_MAX_MS = 1400;

/** Status with which a target says that it failed; 504 only says that the deadline came. */
const FAILED_STATUS = 500;

/** Largest answer to a caller, which also ends a stream of sound events without end. Unit: bytes. */
const ANSWER_BYTES = 16_777_216;

/** Bounds of the time after which a caller may come back to a full fleet. Unit: seconds. */
const OVERLOAD_RETURN = { least: 0.3, most: 1.1 } as const;

/** Time after which a caller may come back when no target is there. Unit: seconds. */
const NO_TARGET_RETURN_SECONDS = 0.5;

/** What the online path needs. */
export interface OnlinePathNeeds {
  readonly view: ConfigurationView;
  readonly router: TargetRouter;
  readonly loads: LoadBook;
  readonly breaks: BreakBook;
  readonly health: TargetHealth;
  readonly rates: AccountRates;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Called when other hosts must learn of the use of a rate at once. */
  readonly onLowRate: () => void;
  /** Called when a request has been placed at a target. */
  readonly onPlaced: (target: Target) => void;
  readonly departures: Departures;
}

/** A request with what was found out about it. */
interface OnlineRequest {
  readonly message: IncomingMessage;
  readonly head: CallerHead;
  readonly route: Route;
  readonly account: Account | undefined;
  readonly service: string;
  readonly body: Buffer;
  readonly life: RequestLife;
  readonly answer: CallerAnswer;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
  readonly arrivedAt: number;
}

/** How a request ended. */
type Ending =
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

const contentOf = ({ account, head, body }: OnlineRequest) => ({
  account: account?.name,
  path: head.path,
  body,
});

const nextSilenceOf = ({ pauseObjectiveMs }: Route): number =>
  Math.min(
    NEXT_SILENCE_MAX_MS,
    Math.max(NEXT_SILENCE_MIN_MS, pauseObjectiveMs * NEXT_SILENCE_OBJECTIVES),
  );

const isRepeatable = ({ kind, resumable }: Route): boolean =>
  kind === 'idempotent' || (kind === 'streaming' && resumable);

/** Another target can go on after whole events, unless what was passed on cannot be the answer. */
const canContinue = (answer: CallerAnswer, { kind }: AttemptEnd): boolean =>
  answer.canContinue && !(answer.started && kind === 'overlong');

const spreadReturn = (): number =>
  OVERLOAD_RETURN.least + Math.random() * (OVERLOAD_RETURN.most - OVERLOAD_RETURN.least);

const refuseFailed = ({ mayHaveRun }: Progress): Refusal =>
  mayHaveRun > 0
    ? refuse('target-failed')
    : refuse('no-target', { retryAfterSeconds: NO_TARGET_RETURN_SECONDS });

const endGivenUp = ({ life, answer }: OnlineRequest, { mayHaveRun }: Progress): Ending => {
  if (life.cause === 'caller-gone') return { kind: 'caller-gone' };
  if (answer.started) return { kind: 'cut', cause: 'deadline' };
  const refusal = mayHaveRun > 0 ? refuse('deadline-passed') : refuse('deadline-passed-in-queue');
  return { kind: 'refused', refusal };
};

/** Refusals by why there is no target. */
const refusalsWithoutTarget = {
  full: () => refuse('overloaded', { retryAfterSeconds: spreadReturn() }),
  none: () => refuse('no-target', { retryAfterSeconds: NO_TARGET_RETURN_SECONDS }),
};

const endWithoutTarget = (
  kind: keyof typeof refusalsWithoutTarget,
  { answer }: OnlineRequest,
  progress: Progress,
): Ending => {
  if (answer.started) return { kind: 'cut', cause: 'no other target' };
  const refusal = progress.mayHaveRun > 0 ? refuseFailed(progress) : refusalsWithoutTarget[kind]();
  return { kind: 'refused', refusal };
};

/** Serves online requests. */
export class OnlinePath {
  /** Requests in progress. */
  running = 0;

  constructor(private readonly needs: OnlinePathNeeds) {}

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
      await this.serveCounted(message, response, head);
    } finally {
      this.running -= 1;
    }
  }

  private async serveCounted(
    message: IncomingMessage,
    response: ServerResponse,
    head: CallerHead,
  ): Promise<void> {
    const { view } = this.needs;
    const arrivedAt = performance.now();
    const admitted = admitCaller(view, head);
    if (admitted.isErr()) {
      this.refuse(response, head, admitted.error);
      return;
    }
    const { route, account } = admitted.value;
    const waitMs = Math.min(head.waitMs ?? route.timeoutMs, route.timeoutMs);
    const life = new RequestLife(response, arrivedAt + waitMs);
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
        life,
        answer: new CallerAnswer(response, repeatable && route.kind === 'streaming'),
        repeatable,
        arrivedAt,
      };
      this.conclude(request, response, await this.run(request));
    } finally {
      life.end();
    }
  }

  /** Tries targets until one has answered whole or the rules end it. */
  private async run(request: OnlineRequest): Promise<Ending> {
    if (this.isBlocked(request)) {
      return { kind: 'refused', refusal: refuse('request-breaks-targets') };
    }
    const overRate = this.countRate(request);
    if (overRate) return { kind: 'refused', refusal: overRate };
    const progress = new Progress();
    const ending = await this.tryTargets(request, progress);
    if (progress.mayHaveRun === 0 && request.account) this.needs.rates.putBack(request.account);
    return ending;
  }

  private async tryTargets(request: OnlineRequest, progress: Progress): Promise<Ending> {
    const { life, answer, repeatable, route } = request;
    for (;;) {
      if (life.cause) return endGivenUp(request, progress);
      const chosen = this.needs.router.choose(request.service, progress.excluded);
      if (chosen.kind !== 'target') return endWithoutTarget(chosen.kind, request, progress);
      const { target } = chosen;
      progress.countSend();
      const end = await this.attempt(request, target, progress);
      if (end.kind === 'complete') {
        progress.countRun();
        return { kind: 'complete', status: end.status, target };
      }
      this.digest(request, target, end, progress);
      if (end.kind === 'given-up') return endGivenUp(request, progress);
      const mayGoOn =
        end.kind === 'not-run'
          ? progress.sends < FRUITLESS_SENDS
          : repeatable && canContinue(answer, end) && progress.mayHaveRun < route.attempts;
      if (!mayGoOn) {
        if (answer.started) return { kind: 'cut', cause: end.kind };
        return { kind: 'refused', refusal: refuseFailed(progress) };
      }
      this.needs.metrics.count('requests.retried', { reason: end.kind });
    }
  }

  private async attempt(
    request: OnlineRequest,
    target: Target,
    progress: Progress,
  ): Promise<AttemptEnd> {
    const { client, dialect, loads, health, router } = this.needs;
    const { head, route, account, life, answer, message, body, repeatable } = request;
    const mayRunElsewhere = (): boolean =>
      repeatable &&
      progress.mayHaveRun + 1 < route.attempts &&
      router.hasAlternative(request.service, new Set(progress.excluded).add(target.id));
    const endLoad = loads.begin(target.id, 'online');
    this.needs.onPlaced(target);
    const end = await sendOnce({
      client,
      dialect,
      target,
      requestId: head.id,
      request: {
        method: message.method ?? 'GET',
        path: head.path,
        headers: dialect.targetHeaders(message.rawHeaders, {
          target,
          account: account?.name,
          leftMs: life.leftMs,
          resumeAfter: answer.lastEventId,
        }),
        body: body.length > 0 ? body : null,
      },
      answer,
      signal: life.signal,
      firstSilenceMs: Math.max(FIRST_SILENCE_MIN_MS, route.objectiveMs * FIRST_SILENCE_OBJECTIVES),
      nextSilenceMs: nextSilenceOf(route),
      onSilence: () => {
        health.fail(target.id, 'silent');
        return mayRunElsewhere();
      },
      onSign: (status) => {
        if (status === FAILED_STATUS) health.fail(target.id, `status ${status}`);
        else health.succeed(target.id);
      },
      onLeaving: () => this.needs.departures.add(target),
      isFailure: (status) => status === FAILED_STATUS && mayRunElsewhere(),
      answerBytes: ANSWER_BYTES,
    });
    endLoad();
    return end;
  }

  private digest(
    request: OnlineRequest,
    target: Target,
    end: AttemptEnd,
    progress: Progress,
  ): void {
    const { health, journal, breaks } = this.needs;
    progress.excluded.add(target.id);
    if (end.kind === 'broken') breaks.add(fingerprintOf(contentOf(request)), performance.now());
    if (end.kind !== 'not-run') progress.countRun();
    if (isTargetFault(end)) health.fail(target.id, end.cause);
    journal.record('attempt-failed', {
      request: request.head.id,
      target: target.id,
      kind: end.kind,
      ...('cause' in end && { cause: end.cause }),
      lastEventId: request.answer.lastEventId,
      sends: progress.sends,
    });
  }

  private isBlocked(request: OnlineRequest): boolean {
    const { breaks } = this.needs;
    if (breaks.isEmpty) return false;
    return breaks.isBlocked(fingerprintOf(contentOf(request)), performance.now());
  }

  private countRate({ account }: OnlineRequest): Refusal | undefined {
    if (!account) return undefined;
    const { rates, onLowRate } = this.needs;
    const waitMs = rates.take(account);
    if (rates.isLow(account)) onLowRate();
    if (waitMs === 0) return undefined;
    return refuse('rate-exceeded', { retryAfterSeconds: Math.max(0.1, waitMs / 1000) });
  }

  private conclude(request: OnlineRequest, response: ServerResponse, ending: Ending): void {
    const { head, route, answer, arrivedAt } = request;
    const { journal, metrics, view } = this.needs;
    const facts = {
      request: head.id,
      route: route.name,
      account: request.account?.name,
      configuration: view.directory?.configuration.version,
      configurationAgeMs: Math.round(view.age),
      firstMs: Math.round(answer.firstAfterMs(arrivedAt) ?? -1),
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
      metrics.observe('requests.first', answer.firstAfterMs(arrivedAt) ?? 0);
      metrics.observe('requests.total', performance.now() - arrivedAt);
      journal.record('request-served', {
        ...facts,
        target: ending.target.id,
        status: ending.status,
      });
      return;
    }
    answer.cut();
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
    const { view } = this.needs;
    const decided = facts ?? {
      configuration: view.directory?.configuration.version,
      configurationAgeMs: Math.round(view.age),
    };
    writeRefusal(response, { requestId: head.id, refusal, facts: decided }, this.needs);
  }
}
