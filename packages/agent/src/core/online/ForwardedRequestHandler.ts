/** The way of a forwarded request: check, admission, target, answer. */
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

/** A forwarded request with the response that is to be given. */
export interface InnerExchange extends RelayDestination {
  readonly lifetime: RequestLifetime;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Refusals of a request that is given up in the target, by reason. */
const refusalsAfterSending: Record<AbortReason, Refusal> = {
  'caller-gone': refuse('target-failed'),
  deadline: refuse('deadline-passed'),
  'key-withdrawn': refuse('key-unknown', { run: 'outcome unknown' }),
  stop: refuse('target-failed', { detail: 'The host stopped.' }),
};

/** Refusals of a request that is given up before it was sent to the target, by reason. */
const refusalsBeforeSending: Record<AbortReason, Refusal> = {
  'caller-gone': refuse('deadline-passed-in-queue'),
  deadline: refuse('deadline-passed-in-queue'),
  'key-withdrawn': refuse('key-unknown'),
  stop: refuse('stopping'),
};

/** What the path of forwarded requests needs. */
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

/** The way of a forwarded request. */
export class ForwardedRequestHandler {
  constructor(private readonly dependencies: ForwardedRequestHandlerDependencies) {}

  /**
   * Runs a forwarded request.
   *
   * @param exchange - the request
   * @returns nothing once the response is given or cut; a refusal while nothing of it has been sent
   */
  async handle(exchange: InnerExchange): Promise<Result<void, Refusal>> {
    const { lifetime: life } = exchange;
    const { request } = life;
    const grant = await this.checkRequest(exchange);
    if (grant.isErr()) return err(grant.error);
    const slot = await this.dependencies.slots.acquireOnlineSlot({
      ...grant.value,
      cost: estimateCost(exchange.body),
      exclusive: request.suspect,
      waitDeadline: request.waitDeadline,
      deadline: request.deadline,
      signal: life.signal,
    });
    if (slot.isErr())
      return err(life.abortReason ? refusalsBeforeSending[life.abortReason] : slot.error);
    try {
      // The key may have been withdrawn while the request waited.
      const still = await this.checkRequest(exchange);
      if (still.isErr()) return err(still.error);
      if (life.abortReason) return err(refusalsBeforeSending[life.abortReason]);
      return await this.runInTarget(exchange);
    } finally {
      slot.value.release();
    }
  }

  private async checkRequest({
    lifetime: life,
    body,
  }: InnerExchange): Promise<Result<Grant, Refusal>> {
    const { request } = life;
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
    const { lifetime: life, headers, body, response } = exchange;
    const { request } = life;
    const { sentRequests: sentOnce, crashDetector: crashWatch, client } = this.dependencies;
    if (!request.repeatable && !sentOnce.claim(request.id)) return err(refuse('outcome-unknown'));
    const inFlight = {
      fingerprint: request.fingerprint,
      suspect: request.suspect,
      canReportCrash: () => !response.headersSent && !response.destroyed,
    };
    const { id, method, path } = request;
    const { signal } = life;
    const call = {
      id,
      method,
      path,
      headers: filterRequestHeaders(headers),
      body,
      signal,
      inFlight,
    };
    crashWatch.add(inFlight);
    try {
      this.dependencies.metrics.count('requests.accepted', { route: request.route });
      const opened = await client.send(call);
      if (opened.isErr()) return this.fail(exchange, opened.error);
      return await this.relay(exchange, call, opened.value);
    } finally {
      crashWatch.remove(inFlight);
    }
  }

  private async relay(
    exchange: InnerExchange,
    call: TargetCall,
    answer: OpenResponse,
  ): Promise<Result<void, Refusal>> {
    const { target, client, metrics, models, sentRequests: sentOnce } = this.dependencies;
    try {
      const unloaded = await models.checkNotFound(answer.status, exchange.body);
      if (unloaded) {
        answer.body.on('error', () => undefined).destroy();
        sentOnce.release(call.id);
        return err(unloaded);
      }
      const end = await relayResponse(answer, exchange, target.kind === 'engine');
      if (end === 'incomplete') {
        return this.fail(exchange, { kind: 'failed', message: 'the answer has no final event' });
      }
      metrics.count('requests.completed', { route: exchange.lifetime.request.route });
      return ok(undefined);
    } catch (fault) {
      return this.fail(exchange, await client.classifyError(fault, call));
    }
  }

  private fail(exchange: InnerExchange, failure: RequestFailure): Result<void, Refusal> {
    const { lifetime: life, response } = exchange;
    if (response.headersSent) {
      const reason = life.abortReason ?? failure.kind;
      this.dependencies.journal.record('stream-cut', { request: life.request.id, reason });
      this.dependencies.metrics.count('streams.cut', { reason });
      response.destroy();
      return ok(undefined);
    }
    return err(this.createRefusal(life, failure));
  }

  private createRefusal(life: RequestLifetime, failure: RequestFailure): Refusal {
    const { target, sentRequests: sentOnce } = this.dependencies;
    if (failure.kind === 'not-sent') {
      sentOnce.release(life.request.id);
      return refuse('no-target');
    }
    if (failure.kind === 'crashed') {
      const { id, fingerprints } = failure.crash;
      return refuse('target-crashed', { facts: { crash: id, target: target.name, fingerprints } });
    }
    return life.abortReason ? refusalsAfterSending[life.abortReason] : refuse('target-failed');
  }
}
