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
import { checkInForce, type Grant } from '../checks/checkAgainstTree.js';
import type { GenerationCheck } from '../checks/GenerationCheck.js';
import type { SentOnce } from '../checks/SentOnce.js';
import type { ServingState } from '../life/ServingState.js';
import type { CrashWatch } from '../target/CrashWatch.js';
import { headersToTarget } from '../target/forwardedHeaders.js';
import type { ServedModels } from '../target/ServedModels.js';
import type { OpenAnswer, RunFailure, TargetCall, TargetClient } from '../target/TargetClient.js';
import { relayAnswer, type RelayTarget } from './relayAnswer.js';
import type { EndReason, RequestLife } from './RequestLife.js';

/** A forwarded request with the response that is to be given. */
export interface InnerExchange extends RelayTarget {
  readonly life: RequestLife;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

/** Refusals of a request that is given up in the target, by reason. */
const endedInTarget: Record<EndReason, Refusal> = {
  'caller-gone': refuse('target-failed'),
  deadline: refuse('deadline-passed'),
  'key-withdrawn': refuse('key-unknown', { run: 'outcome unknown' }),
  stop: refuse('target-failed', { detail: 'The host stopped.' }),
};

/** Refusals of a request that is given up before it was sent to the target, by reason. */
const endedBefore: Record<EndReason, Refusal> = {
  'caller-gone': refuse('deadline-passed-in-queue'),
  deadline: refuse('deadline-passed-in-queue'),
  'key-withdrawn': refuse('key-unknown'),
  stop: refuse('stopping'),
};

/** What the path of forwarded requests needs. */
export interface OnlineParts {
  readonly target: AgentSettings['target'];
  readonly follower: ConfigurationFollower;
  readonly serving: ServingState;
  readonly models: ServedModels;
  readonly slots: TargetSlots;
  readonly client: TargetClient;
  readonly crashWatch: CrashWatch;
  readonly generations: GenerationCheck;
  readonly sentOnce: SentOnce;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** The way of a forwarded request. */
export class OnlinePath {
  constructor(private readonly parts: OnlineParts) {}

  /**
   * Runs a forwarded request.
   *
   * @param exchange - the request
   * @returns nothing once the response is given or cut; a refusal while nothing of it has been sent
   */
  async run(exchange: InnerExchange): Promise<Result<void, Refusal>> {
    const { life } = exchange;
    const { request } = life;
    const grant = await this.mayRun(exchange);
    if (grant.isErr()) return err(grant.error);
    const slot = await this.parts.slots.acquireOnline({
      ...grant.value,
      cost: estimateCost(exchange.body),
      alone: request.suspect,
      waitDeadline: request.waitDeadline,
      deadline: request.deadline,
      signal: life.signal,
    });
    if (slot.isErr()) return err(life.endReason ? endedBefore[life.endReason] : slot.error);
    try {
      // The key may have been withdrawn while the request waited.
      const still = await this.mayRun(exchange);
      if (still.isErr()) return err(still.error);
      if (life.endReason) return err(endedBefore[life.endReason]);
      return await this.runInTarget(exchange);
    } finally {
      slot.value.release();
    }
  }

  private async mayRun({ life, body }: InnerExchange): Promise<Result<Grant, Refusal>> {
    const { request } = life;
    const { serving, models, target, generations, follower } = this.parts;
    const grant = await checkInForce(request, follower);
    if (grant.isErr()) return grant;
    const refusal = serving.refusal() ?? models.refusal(body);
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
    const { life, headers, body, response } = exchange;
    const { request } = life;
    const { sentOnce, crashWatch, client } = this.parts;
    if (!request.repeatable && !sentOnce.claim(request.id)) return err(refuse('outcome-unknown'));
    const inFlight = {
      fingerprint: request.fingerprint,
      suspect: request.suspect,
      canTell: () => !response.headersSent && !response.destroyed,
    };
    const { id, method, path } = request;
    const { signal } = life;
    const call = { id, method, path, headers: headersToTarget(headers), body, signal, inFlight };
    crashWatch.enter(inFlight);
    try {
      this.parts.metrics.count('requests.accepted', { route: request.route });
      const opened = await client.send(call);
      if (opened.isErr()) return this.fail(exchange, opened.error);
      return await this.relay(exchange, call, opened.value);
    } finally {
      crashWatch.leave(inFlight);
    }
  }

  private async relay(
    exchange: InnerExchange,
    call: TargetCall,
    answer: OpenAnswer,
  ): Promise<Result<void, Refusal>> {
    const { target, client, metrics, models, sentOnce } = this.parts;
    try {
      const unloaded = await models.explainStatus(answer.status, exchange.body);
      if (unloaded) {
        answer.body.on('error', () => undefined).destroy();
        sentOnce.release(call.id);
        return err(unloaded);
      }
      const end = await relayAnswer(answer, exchange, target.kind === 'engine');
      if (end === 'incomplete') {
        return this.fail(exchange, { kind: 'failed', message: 'the answer has no final event' });
      }
      metrics.count('requests.completed', { route: exchange.life.request.route });
      return ok(undefined);
    } catch (fault) {
      return this.fail(exchange, await client.explain(fault, call));
    }
  }

  private fail(exchange: InnerExchange, failure: RunFailure): Result<void, Refusal> {
    const { life, response } = exchange;
    if (response.headersSent) {
      const reason = life.endReason ?? failure.kind;
      this.parts.journal.record('stream-cut', { request: life.request.id, reason });
      this.parts.metrics.count('streams.cut', { reason });
      response.destroy();
      return ok(undefined);
    }
    return err(this.explainFailure(life, failure));
  }

  private explainFailure(life: RequestLife, failure: RunFailure): Refusal {
    const { target, sentOnce } = this.parts;
    if (failure.kind === 'not-sent') {
      sentOnce.release(life.request.id);
      return refuse('no-target');
    }
    if (failure.kind === 'crashed') {
      const { id, fingerprints } = failure.crash;
      return refuse('target-crashed', { facts: { crash: id, target: target.name, fingerprints } });
    }
    return life.endReason ? endedInTarget[life.endReason] : refuse('target-failed');
  }
}
