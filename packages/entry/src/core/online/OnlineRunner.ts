/** Runs a checked online request: claim, rate permit, forwarding and the answer to the caller. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal, type ResultName } from '@jacinthlug/catalog/resultCodes';
import type { Permit, RateShares } from '@jacinthlug/control/RateShares';
import { err, ok, type Result } from 'neverthrow';
import type { Claim, Claiming, ClaimStore } from '../claims/ClaimStore.js';
import type { RecordedAnswer } from '../claims/RecordedAnswer.js';
import { Abandoned } from '../forwarding/Attempt.js';
import type { Forwarded, Forwarder } from '../forwarding/Forwarder.js';
import type { Exchange } from '../http/Exchange.js';
import { beginStream, cutStream, writeEvents, writeWhole } from './answerCaller.js';
import type { OnlineRequest } from './OnlineRequest.js';
import { superviseRequest } from './superviseRequest.js';
import { watchKey } from './watchKey.js';

/** Longest wait for the claim of a request that must not run without one. Unit: ms. */
const CLAIM_LIMIT_MS = 3000;

/** Longest wait for the claim of a request that may run without one. Unit: ms. */
const REPEATABLE_CLAIM_LIMIT_MS = 500;

/** Largest stream whose events are kept for the record of its claim. Unit: bytes. */
const MAX_KEPT_STREAM_BYTES = 8 * 1024 * 1024;

/** What the runner needs. */
export interface OnlineRunnerNeeds {
  readonly claims: ClaimStore;
  readonly rates: RateShares;
  readonly forwarder: Forwarder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** What became of a request, as far as claim and permit are concerned. */
interface Ending {
  /** Answer to be recorded in the claim. */
  readonly answer?: RecordedAnswer;
  /** Whether no target can have got the request. */
  readonly notRun: boolean;
  readonly refusal?: Refusal;
}

const isFailure = ({ status }: RecordedAnswer): boolean => status >= 500 || status === 429;

/** Gives the result code of a stream that was cut. */
const cutCodeOf = (signal: AbortSignal): ResultName => {
  const reason: unknown = signal.reason;
  if (!signal.aborted || !(reason instanceof Abandoned)) return 'target-failed';
  const { abandonCause: cause } = reason;
  if (cause.kind === 'not-allowed') return cause.code;
  return cause.kind === 'deadline' ? 'deadline-passed' : 'target-failed';
};

/** Goes on with a request after the wish to claim it. */
type AfterClaiming = {
  readonly [Kind in Claiming['kind']]: (
    exchange: Exchange,
    request: OnlineRequest,
    claiming: Extract<Claiming, { kind: Kind }>,
  ) => Promise<Result<void, Refusal>>;
};

/** Runs online requests. */
export class OnlineRunner {
  private readonly afterClaiming: AfterClaiming = {
    claimed: (exchange, request, { claim }) => this.runHolding(exchange, request, claim),
    replay: (exchange, request, { answer }) => {
      this.needs.metrics.count('requests.replayed', { route: request.route });
      writeWhole(exchange.response, request.requestId, answer, true);
      return Promise.resolve(ok(undefined));
    },
    refused: (_, __, { refusal }) => Promise.resolve(err(refusal)),
    unavailable: (exchange, request) =>
      request.repeatable
        ? this.runHolding(exchange, request)
        : Promise.resolve(err(refuse('claims-unavailable'))),
  };

  constructor(private readonly needs: OnlineRunnerNeeds) {}

  /**
   * Runs a request and writes its answer.
   *
   * @param exchange - exchange with the caller
   * @param request - the checked request
   * @returns nothing when an answer was begun, or the refusal
   */
  async run(exchange: Exchange, request: OnlineRequest): Promise<Result<void, Refusal>> {
    const block = this.needs.forwarder.findBlock(request.fingerprint);
    if (block) return err(block);
    if (request.identities.length === 0) return this.runHolding(exchange, request);
    return this.runClaimed(exchange, request);
  }

  private async runClaimed(
    exchange: Exchange,
    request: OnlineRequest,
  ): Promise<Result<void, Refusal>> {
    // An account beyond its rate must not cost the table a claim and a release for each refusal.
    const affordable = await this.checkRate(request);
    if (affordable.isErr()) return err(affordable.error);
    const limitMs = request.repeatable ? REPEATABLE_CLAIM_LIMIT_MS : CLAIM_LIMIT_MS;
    const deadline = Math.min(request.deadline, performance.now() + limitMs);
    const { identities, fingerprint, wallDeadline: endsBy, repeatable } = request;
    const wish = { identities, fingerprint, deadline, endsBy, repeatable };
    const claiming = await this.needs.claims.claim(wish);
    return this.afterClaiming[claiming.kind](exchange, request, claiming as never);
  }

  private async checkRate({ account }: OnlineRequest): Promise<Result<void, Refusal>> {
    if (!account) return ok(undefined);
    const taken = await this.needs.rates.take(account);
    return taken.map((permit) => this.needs.rates.putBack(account, permit));
  }

  private async runHolding(
    exchange: Exchange,
    request: OnlineRequest,
    claim?: Claim,
  ): Promise<Result<void, Refusal>> {
    const { account } = request;
    const taken = account ? await this.needs.rates.take(account) : ok(undefined);
    if (taken.isErr()) {
      if (claim) await this.needs.claims.release(claim);
      return err(taken.error);
    }
    const permit = taken.value;
    const ending = await this.forward(exchange, request, claim, permit);
    if (ending.notRun && account && permit) this.needs.rates.putBack(account, permit);
    return ending.refusal ? err(ending.refusal) : ok(undefined);
  }

  private async forward(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    permit: Permit | undefined,
  ): Promise<Ending> {
    const controller = new AbortController();
    const abandon = superviseRequest(request, exchange.callerGone, claim !== undefined, controller);
    try {
      const forwarded = await this.needs.forwarder.forward(request, permit, controller.signal);
      const ending = await this.answer(exchange, request, claim, forwarded, controller);
      if (claim) await this.settleClaim(request, claim, ending);
      this.writeHeld(exchange, request, claim, ending);
      return ending;
    } finally {
      abandon();
    }
  }

  private async answer(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    forwarded: Forwarded,
    controller: AbortController,
  ): Promise<Ending> {
    const { metrics } = this.needs;
    if (forwarded.kind === 'refused') {
      return { notRun: forwarded.notRun, refusal: forwarded.refusal };
    }
    metrics.count('requests.accepted', { route: request.route });
    if (forwarded.kind === 'answered') return { notRun: false, answer: forwarded.answer };
    const endWatch = request.repeatable ? () => undefined : watchKey(request, controller);
    try {
      return await this.relay(exchange, request, claim !== undefined, forwarded);
    } finally {
      endWatch();
    }
  }

  private async relay(
    { response }: Exchange,
    request: OnlineRequest,
    isKept: boolean,
    { answer, signal, finish }: Extract<Forwarded, { kind: 'streaming' }>,
  ): Promise<Ending> {
    const { requestId, route } = request;
    const kept: Buffer[] = [];
    let keptBytes = 0;
    beginStream(response, requestId, answer);
    let next: IteratorResult<Buffer, string> = { done: false, value: answer.first };
    while (!next.done) {
      const events = next.value;
      keptBytes += events.length;
      if (isKept && keptBytes <= MAX_KEPT_STREAM_BYTES) kept.push(events);
      await writeEvents(response, events, signal);
      next = await answer.events.next();
    }
    finish();
    if (next.value === 'complete') {
      response.end();
      this.needs.metrics.count('requests.completed', { route });
      const whole = isKept && keptBytes <= MAX_KEPT_STREAM_BYTES;
      return {
        notRun: false,
        ...(whole && {
          answer: { status: answer.status, headers: answer.headers, body: Buffer.concat(kept) },
        }),
      };
    }
    this.cut(response, requestId, cutCodeOf(signal));
    return { notRun: false };
  }

  private cut(response: Exchange['response'], requestId: string, code: ResultName): void {
    this.needs.metrics.count('streams.cut', { reason: code });
    this.needs.journal.record('stream-cut', { request: requestId, reason: code });
    if (response.destroyed) return;
    cutStream(response, requestId, refuse(code, { run: 'outcome unknown' }));
  }

  private async settleClaim(request: OnlineRequest, claim: Claim, ending: Ending): Promise<void> {
    const { claims } = this.needs;
    if (ending.notRun) {
      await claims.release(claim);
      return;
    }
    const { answer } = ending;
    // A failed request that may run twice is released, so that its resend runs again.
    if (request.repeatable && (!answer || isFailure(answer))) {
      await claims.release(claim);
      return;
    }
    if (answer) await claims.record(claim, answer);
  }

  /** Writes a whole answer, after its record was tried: a resend right after the answer finds the record. */
  private writeHeld(
    { response }: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    { answer }: Ending,
  ): void {
    if (!answer || response.headersSent) return;
    writeWhole(response, request.requestId, answer);
    this.needs.metrics.count('requests.completed', { route: request.route });
  }
}
