/** Serves online requests. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Route } from '../configuration/ServingConfiguration.js';
import { computeContentKeys } from '../crashes/contentKeys.js';
import type { CallerHead } from '../http/Dialect.js';
import { takeBody } from '../http/takeBody.js';
import { writeRefusal } from '../http/writeRefusal.js';
import type { AccountRateLimiter } from '../rates/AccountRateLimiter.js';
import { findAllowedRegions, type AllowedRegions } from '../routing/allowedRegions.js';
import type { StreamResumption } from '../streams/StreamResumption.js';
import { computeStreamKey, type StreamVersions } from '../streams/StreamVersions.js';
import { admitCaller } from './admitCaller.js';
import { CallerResponse } from './CallerResponse.js';
import { RequestAttempts, type RequestAttemptsDependencies } from './RequestAttempts.js';
import { RequestProgress } from './RequestProgress.js';
import { RequestLifetime } from './RequestLifetime.js';
import type { OnlineRequest } from './OnlineRequest.js';
import { refuseUnsent, type RequestOutcome } from './requestOutcomes.js';

/** Dependencies of {@link OnlineRequestHandler}. */
export interface OnlineRequestHandlerDependencies extends RequestAttemptsDependencies {
  readonly view: ConfigurationView;
  readonly rates: AccountRateLimiter;
  /** Memory for the bodies of requests. */
  readonly bodies: BodyBudget;
  /** Called when an account's use of its rate must be reported to other hosts at once. */
  readonly onLowRate: () => void;
  readonly streamVersions: StreamVersions;
  readonly streamResumption: StreamResumption;
}

const isRepeatable = ({ kind, resumable }: Route): boolean =>
  kind === 'idempotent' || (kind === 'streaming' && resumable);

/** Serves online requests. */
export class OnlineRequestHandler {
  /** Number of requests in progress. */
  running = 0;

  private readonly attempts: RequestAttempts;

  constructor(private readonly dependencies: OnlineRequestHandlerDependencies) {
    this.attempts = new RequestAttempts(dependencies);
  }

  /**
   * Serves a request.
   *
   * @param message - the caller's request
   * @param response - its response
   * @param head - head of the request
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
    const { view, shutdown, bodies } = this.dependencies;
    const { arrivedAt } = head;
    const admitted = admitCaller(view, head);
    if (admitted.isErr()) {
      this.refuse(response, head, admitted.error);
      return;
    }
    const { route, account } = admitted.value;
    const waitMs = Math.min(head.waitMs ?? route.timeoutMs, route.timeoutMs);
    const lifetime = new RequestLifetime(response, arrivedAt + waitMs, shutdown);
    try {
      const body = await takeBody(message, {
        limitBytes: view.index!.configuration.limits.bodyBytes,
        shutdown,
        bodies,
        account: account?.name,
        response,
        signal: lifetime.signal,
      });
      if (body.isErr()) {
        this.refuse(response, head, body.error);
        return;
      }
      if (!body.value) {
        const refusal = refuseUnsent(lifetime);
        if (refusal) this.refuse(response, head, refusal);
        return;
      }
      const repeatable = isRepeatable(route);
      const isStream = route.kind === 'streaming' && message.method !== 'HEAD';
      const streamKey =
        repeatable && route.kind === 'streaming'
          ? computeStreamKey(account?.name, head.resumedRequest ?? head.id)
          : undefined;
      const allowedRegions = findAllowedRegions(route, account);
      const service = this.chooseService(route, streamKey, head, allowedRegions);
      const request: OnlineRequest = {
        message,
        head,
        route,
        account,
        service,
        allowedRegions,
        body: body.value.content,
        contentKeys: computeContentKeys({
          service,
          account: account?.name,
          path: head.path,
          sharedPromptParts: head.sharedPromptParts,
          body: body.value.content,
        }),
        lifetime,
        callerResponse: new CallerResponse(
          response,
          isStream,
          repeatable,
          isStream && repeatable ? head.resumeAfter : undefined,
          (version) => this.recordVersion(streamKey, version),
        ),
        repeatable,
        streamKey,
        arrivedAt,
      };
      const progress = new RequestProgress();
      const outcome = await this.run(request, progress);
      this.finish(request, progress, response, outcome);
    } finally {
      lifetime.end();
    }
  }

  private chooseService(
    { services }: Route,
    streamKey: string | undefined,
    { resumeAfter }: CallerHead,
    allowedRegions: AllowedRegions | undefined,
  ): string {
    const { router, streamVersions } = this.dependencies;
    const isContinuation = streamKey !== undefined && resumeAfter !== undefined;
    return router.chooseService(
      services,
      isContinuation ? streamVersions.find(streamKey) : undefined,
      allowedRegions,
    );
  }

  /** Runs a request, unless its content, its account's rate or the version of its stream forbids it. */
  private async run(request: OnlineRequest, progress: RequestProgress): Promise<RequestOutcome> {
    const blocked = this.refuseBlockedContent(request);
    if (blocked) return { kind: 'refused', refusal: blocked };
    const overRate = this.consumeRate(request);
    if (overRate) return { kind: 'refused', refusal: overRate };
    const outcome =
      (await this.refuseUnknownVersion(request, progress)) ??
      (await this.attempts.run(request, progress));
    if (progress.possibleRuns === 0 && request.account)
      this.dependencies.rates.refund(request.account);
    return outcome;
  }

  /** Refuses to continue a stream if this host can't tell which version began it. */
  private async refuseUnknownVersion(
    { head, service, streamKey, lifetime }: OnlineRequest,
    progress: RequestProgress,
  ): Promise<RequestOutcome | undefined> {
    if (streamKey === undefined || head.resumeAfter === undefined) return undefined;
    const version = await Promise.race([
      this.dependencies.streamResumption.findVersion(streamKey, service),
      systemClock.sleep(lifetime.remainingMs, lifetime.signal).then(() => undefined),
    ]);
    if (version === undefined) {
      return { kind: 'refused', refusal: refuse('stream-version-unknown') };
    }
    progress.beginStream(version);
    this.logVersion(head, streamKey, version);
    this.recordVersion(streamKey, version);
    return undefined;
  }

  /**
   * Records the version of a stream, of which the caller has an event or gets one now. A head alone tells no version, as the
   * response of another target may take its place.
   */
  private recordVersion(streamKey: string | undefined, version: string): void {
    if (streamKey !== undefined) this.dependencies.streamVersions.begin(streamKey, version);
  }

  /** Logs at which version a stream goes on, and who told this host. */
  private logVersion(head: OnlineRequest['head'], stream: string, version: string): void {
    const { journal, streamVersions } = this.dependencies;
    const known = streamVersions.describeSource(stream);
    journal.record('stream-version-found', {
      request: head.id,
      resumedRequest: head.resumedRequest,
      stream,
      version,
      // Without a source, it is the only version that can have begun a stream.
      source: known?.source.kind ?? 'only-version',
      host: known?.source.host,
      knownMs: known?.knownMs,
    });
  }

  /** Refuses a request whose content crashes targets. */
  private refuseBlockedContent({ contentKeys }: OnlineRequest): Refusal | undefined {
    const now = performance.now();
    const block = this.dependencies.crashGuard.findBlock(contentKeys, now);
    return (
      block &&
      refuse('request-breaks-targets', {
        retryAfterSeconds: Math.ceil((block.until - now) / 1000),
      })
    );
  }

  private consumeRate({ account }: OnlineRequest): Refusal | undefined {
    if (!account) return undefined;
    const { rates, onLowRate } = this.dependencies;
    const waitMs = rates.take(account);
    if (rates.isLow(account)) onLowRate();
    if (waitMs === 0) return undefined;
    return refuse('rate-exceeded', { retryAfterSeconds: Math.max(0.1, waitMs / 1000) });
  }

  private finish(
    request: OnlineRequest,
    progress: RequestProgress,
    response: ServerResponse,
    outcome: RequestOutcome,
  ): void {
    const { head, route, callerResponse, arrivedAt } = request;
    const { crashGuard, journal, metrics, view, streamVersions } = this.dependencies;
    if (request.streamKey !== undefined)
      streamVersions.end(request.streamKey, outcome.kind === 'complete');
    const facts = {
      request: head.id,
      route: route.name,
      account: request.account?.name,
      promptParts: head.sharedPromptParts,
      ...(head.resumeAfter !== undefined && {
        resumeAfter: head.resumeAfter,
        resumedRequest: head.resumedRequest,
      }),
      configuration: view.index?.configuration.version,
      configurationAgeMs: Math.round(view.age),
      firstMs: Math.round(callerResponse.timeToFirstWriteMs(arrivedAt) ?? -1),
      ...(progress.queuedMs > 0 && { queuedMs: Math.round(progress.queuedMs) }),
      longestPauseMs: Math.round(callerResponse.longestPauseMs),
      tookMs: Math.round(performance.now() - arrivedAt),
    };
    if (outcome.kind === 'refused') {
      const content = crashGuard.findBlock(request.contentKeys)?.key;
      this.refuse(response, head, outcome.refusal, {
        ...facts,
        version: progress.version,
        targets: progress.unavailable,
        content,
      });
      return;
    }
    if (outcome.kind === 'complete') {
      callerResponse.end();
      metrics.count('requests.completed', { route: route.name });
      metrics.observe('requests.first', callerResponse.timeToFirstWriteMs(arrivedAt) ?? 0);
      metrics.observe('requests.total', performance.now() - arrivedAt);
      journal.record('request-served', {
        ...facts,
        target: outcome.target.id,
        version: outcome.target.version,
        status: outcome.attempt.status,
        ...(outcome.attempt.isCloseDelimited && { closeDelimited: true }),
        ...(outcome.isConfirmed && { endConfirmed: true }),
      });
      return;
    }
    callerResponse.destroy();
    const reason = outcome.kind === 'cut' ? outcome.cause : outcome.kind;
    metrics.count('streams.cut', { reason });
    journal.record('answer-cut', {
      ...facts,
      version: progress.version,
      targets: progress.unavailable,
      reason,
      lastEventId: callerResponse.lastEventId,
    });
  }

  private refuse(
    response: ServerResponse,
    head: CallerHead,
    refusal: Refusal,
    facts?: Readonly<Record<string, unknown>>,
  ): void {
    const { view } = this.dependencies;
    const loggedFacts = facts ?? {
      configuration: view.index?.configuration.version,
      configurationAgeMs: Math.round(view.age),
    };
    writeRefusal(response, { requestId: head.id, refusal, facts: loggedFacts }, this.dependencies);
  }
}
