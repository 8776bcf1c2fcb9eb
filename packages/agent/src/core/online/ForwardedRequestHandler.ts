/** Handles forwarded requests: authorization, admission, target, response. */
import type { IncomingHttpHeaders } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { err, ok, type Result } from 'neverthrow';
import { estimateCost } from '../admission/estimateCost.js';
import type { TargetSlots } from '../admission/TargetSlots.js';
import { authorizeRequest, type Grant } from '../checks/authorizeRequest.js';
import type { GenerationCheck } from '../checks/GenerationCheck.js';
import type { SentRequests } from '../checks/SentRequests.js';
import type { ServingState } from '../lifecycle/ServingState.js';
import type { CrashDetector } from '../target/CrashDetector.js';
import { filterRequestHeaders } from '../target/forwardedHeaders.js';
import type { ServedModels } from '../target/ServedModels.js';
import type {
  OpenResponse,
  RequestFailure,
  TargetCall,
  TargetClient,
} from '../target/TargetClient.js';
import { relayResponse, type RelayDestination } from './relayResponse.js';
import type { AbortReason, RequestLifetime } from './RequestLifetime.js';

/** A forwarded request with its response. */
export interface InnerExchange extends RelayDestination {
  readonly lifetime: RequestLifetime;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Refusals of requests that are aborted after being sent to the target. */
const refusalsAfterSending: Record<AbortReason, Refusal> = {
  'caller-gone': refuse('target-failed'),
  deadline: refuse('deadline-passed'),
  'key-withdrawn': refuse('key-unknown', { run: 'outcome unknown' }),
  stop: refuse('target-failed', { detail: 'The host stopped.' }),
};

/** Refusals of requests that are aborted before being sent to the target. */
export const refusalsBeforeSending: Readonly<Record<AbortReason, Refusal>> = {
  'caller-gone': refuse('deadline-passed-in-queue'),
  deadline: refuse('deadline-passed-in-queue'),
  'key-withdrawn': refuse('key-unknown'),
  stop: refuse('stopping'),
};

/** Dependencies of {@link ForwardedRequestHandler}. */
export interface ForwardedRequestHandlerDependencies {
  readonly target: AgentSettings['target'];
  readonly follower: ConfigurationFollower;
  readonly serving: ServingState;
  readonly models: ServedModels;
  readonly slots: TargetSlots;
  readonly client: TargetClient;
  readonly crashDetector: CrashDetector;
  readonly generations: GenerationCheck;
  readonly sentRequests: SentRequests;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Handles forwarded requests. */
export class ForwardedRequestHandler {
  constructor(private readonly dependencies: ForwardedRequestHandlerDependencies) {}

  /**
   * Handles a forwarded request.
   *
   * @param exchange - the request and its response
   * @returns nothing once the response has been sent or aborted; a refusal when it was not started
   */
  async handle(exchange: InnerExchange): Promise<Result<void, Refusal>> {
    const { lifetime } = exchange;
    const { request } = lifetime;
    const grant = await this.checkRequest(exchange);
    if (grant.isErr()) return err(grant.error);
    const slot = await this.dependencies.slots.acquireOnlineSlot({
      ...grant.value,
      cost: estimateCost(exchange.body),
      exclusive: request.suspect,
      waitDeadline: request.waitDeadline,
      deadline: request.deadline,
      signal: lifetime.signal,
    });
    if (slot.isErr())
      return err(lifetime.abortReason ? refusalsBeforeSending[lifetime.abortReason] : slot.error);
    try {
      // The key may have been withdrawn while the request waited.
      const recheck = await this.checkRequest(exchange);
      if (recheck.isErr()) return err(recheck.error);
      if (lifetime.abortReason) return err(refusalsBeforeSending[lifetime.abortReason]);
      return await this.runInTarget(exchange);
    } finally {
      slot.value.release();
    }
  }

  private async checkRequest({ lifetime, body }: InnerExchange): Promise<Result<Grant, Refusal>> {
    const { request } = lifetime;
    const { serving, models, target, generations, follower } = this.dependencies;
    const grant = await authorizeRequest(request, follower);
    if (grant.isErr()) return grant;
    const refusal = serving.getRefusal() ?? models.checkModel(body);
    if (refusal) return err(refusal);
    if (request.service !== target.service) return err(refuse('no-target'));
    const { shard, generation } = request;
    const isCounted = shard !== undefined && generation !== undefined;
    if (isCounted && !generations.accepts(shard, generation)) {
      return err(refuse('rate-generation-old'));
    }
    return grant;
  }

  private async runInTarget(exchange: InnerExchange): Promise<Result<void, Refusal>> {
    const { lifetime, headers, body, response } = exchange;
    const { request } = lifetime;
    const { sentRequests, crashDetector, client } = this.dependencies;
    if (!request.repeatable && !sentRequests.claim(request.id))
      return err(refuse('outcome-unknown'));
    const inFlight = {
      fingerprint: request.fingerprint,
      suspect: request.suspect,
      canReportCrash: () => !response.headersSent && !response.destroyed,
    };
    const { id, method, path } = request;
    const { signal } = lifetime;
    const call = {
      id,
      method,
      path,
      headers: filterRequestHeaders(headers),
      body,
      signal,
      inFlight,
    };
    crashDetector.add(inFlight);
    try {
      this.dependencies.metrics.count('requests.accepted', { route: request.route });
      const opened = await client.send(call);
      if (opened.isErr()) return this.fail(exchange, opened.error);
      return await this.relay(exchange, call, opened.value);
    } finally {
      crashDetector.remove(inFlight);
    }
  }

  private async relay(
    exchange: InnerExchange,
    call: TargetCall,
    opened: OpenResponse,
  ): Promise<Result<void, Refusal>> {
    const { target, client, metrics, models, sentRequests } = this.dependencies;
    try {
      const unloaded = await models.checkNotFound(opened.status, exchange.body);
      if (unloaded) {
        opened.body.on('error', () => undefined).destroy();
        sentRequests.release(call.id);
        return err(unloaded);
      }
      const outcome = await relayResponse(opened, exchange, target.kind === 'engine');
      if (outcome === 'incomplete') {
        return this.fail(exchange, { kind: 'failed', message: 'the response is incomplete' });
      }
      metrics.count('requests.completed', { route: exchange.lifetime.request.route });
      return ok(undefined);
    } catch (fault) {
      return this.fail(exchange, await client.classifyError(fault, call));
    }
  }

  private fail(exchange: InnerExchange, failure: RequestFailure): Result<void, Refusal> {
    const { lifetime, response } = exchange;
    if (response.headersSent) {
      const reason = lifetime.abortReason ?? failure.kind;
      this.dependencies.journal.record('stream-cut', { request: lifetime.request.id, reason });
      this.dependencies.metrics.count('streams.cut', { reason });
      response.destroy();
      return ok(undefined);
    }
    return err(this.createRefusal(lifetime, failure));
  }

  private createRefusal(lifetime: RequestLifetime, failure: RequestFailure): Refusal {
    const { target, sentRequests } = this.dependencies;
    if (failure.kind === 'not-sent') {
      sentRequests.release(lifetime.request.id);
      return refuse('no-target');
    }
    if (failure.kind === 'crashed') {
      const { id, fingerprints } = failure.crash;
      return refuse('target-crashed', { facts: { crash: id, target: target.name, fingerprints } });
    }
    return lifetime.abortReason
      ? refusalsAfterSending[lifetime.abortReason]
      : refuse('target-failed');
  }
}
