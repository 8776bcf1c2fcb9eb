/** Runs a checked online request: claim, rate permit, forwarding and the answer to the caller. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal, type ResultName } from '@jacinthlug/catalog/resultCodes';
import type { Permit, RateShares } from '@jacinthlug/control/RateShares';
import { err, ok, type Result } from 'neverthrow';
import type { Claim, ClaimResult, ClaimStore } from '../claims/ClaimStore.js';
import type { RecordedResponse } from '../claims/RecordedResponse.js';
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import type { ForwardResult, Forwarder } from '../forwarding/Forwarder.js';
import type { Exchange } from '../http/Exchange.js';
import { beginStream, cutStream, writeEvents, writeCompleteResponse } from './callerResponse.js';
import type { OnlineRequest } from './OnlineRequest.js';
import { superviseRequest } from './superviseRequest.js';
import { watchKey } from './watchKey.js';

/** Longest wait for the claim of a request that must not run without one. Unit: ms. */
const CLAIM_TIMEOUT_MS = 3000;

/** Longest wait for the claim of a request that may run without one. Unit: ms. */
const REPEATABLE_CLAIM_TIMEOUT_MS = 500;

/** Largest stream whose events are kept for the record of its claim. Unit: bytes. */
const MAX_RECORDED_STREAM_BYTES = 8 * 1024 * 1024;

/** What the runner needs. */
export interface OnlineRunnerDependencies {
  readonly claims: ClaimStore;
  readonly rates: RateShares;
  readonly forwarder: Forwarder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** What became of a request, as far as claim and permit are concerned. */
interface RequestOutcome {
  /** Answer to be recorded in the claim. */
  readonly response?: RecordedResponse;
  /** Whether no target can have got the request. */
  readonly notRun: boolean;
  readonly refusal?: Refusal;
}

const isFailure = ({ status }: RecordedResponse): boolean => status >= 500 || status === 429;

/** Gives the result code of a stream that was cut. */
const getCutCode = (signal: AbortSignal): ResultName => {
  const reason: unknown = signal.reason;
  if (!signal.aborted || !(reason instanceof Abandoned)) return 'target-failed';
  const { abortReason: cause } = reason;
  if (cause.kind === 'not-allowed') return cause.code;
  return cause.kind === 'deadline' ? 'deadline-passed' : 'target-failed';
};

/** Goes on with a request after the wish to claim it. */
type ClaimOutcomeHandlers = {
  readonly [Kind in ClaimResult['kind']]: (
    exchange: Exchange,
    request: OnlineRequest,
    claiming: Extract<ClaimResult, { kind: Kind }>,
  ) => Promise<Result<void, Refusal>>;
};

/** Runs online requests. */
export class OnlineRunner {
  private readonly claimOutcomeHandlers: ClaimOutcomeHandlers = {
    claimed: (exchange, request, { claim }) => this.runWithPermit(exchange, request, claim),
    replay: (exchange, request, { answer: handleForwardResult }) => {
      this.dependencies.metrics.count('requests.replayed', { route: request.route });
      writeCompleteResponse(exchange.response, request.requestId, handleForwardResult, true);
      return Promise.resolve(ok(undefined));
    },
    refused: (_, __, { refusal }) => Promise.resolve(err(refusal)),
    unavailable: (exchange, request) =>
      request.repeatable
        ? this.runWithPermit(exchange, request)
        : Promise.resolve(err(refuse('claims-unavailable'))),
  };

  constructor(private readonly dependencies: OnlineRunnerDependencies) {}

  /**
   * Runs a request and writes its answer.
   *
   * @param exchange - exchange with the caller
   * @param request - the checked request
   * @returns nothing when an answer was begun, or the refusal
   */
  async run(exchange: Exchange, request: OnlineRequest): Promise<Result<void, Refusal>> {
    const block = this.dependencies.forwarder.getCrashRefusal(request.fingerprint);
    if (block) return err(block);
    if (request.identities.length === 0) return this.runWithPermit(exchange, request);
    return this.runClaimed(exchange, request);
  }

  private async runClaimed(
    exchange: Exchange,
    request: OnlineRequest,
  ): Promise<Result<void, Refusal>> {
    // An account beyond its rate must not cost the table a claim and a release for each refusal.
    const affordable = await this.checkRate(request);
    if (affordable.isErr()) return err(affordable.error);
    const limitMs = request.repeatable ? REPEATABLE_CLAIM_TIMEOUT_MS : CLAIM_TIMEOUT_MS;
    const deadline = Math.min(request.deadline, performance.now() + limitMs);
    const { identities, fingerprint, wallDeadline: endsBy, repeatable } = request;
    const wish = { identities, fingerprint, deadline, endsBy, repeatable };
    const claiming = await this.dependencies.claims.claim(wish);
    return this.claimOutcomeHandlers[claiming.kind](exchange, request, claiming as never);
  }

  private async checkRate({ account }: OnlineRequest): Promise<Result<void, Refusal>> {
    if (!account) return ok(undefined);
    const taken = await this.dependencies.rates.acquire(account);
    return taken.map((permit) => this.dependencies.rates.refund(account, permit));
  }

  private async runWithPermit(
    exchange: Exchange,
    request: OnlineRequest,
    claim?: Claim,
  ): Promise<Result<void, Refusal>> {
    const { account } = request;
    const taken = account ? await this.dependencies.rates.acquire(account) : ok(undefined);
    if (taken.isErr()) {
      if (claim) await this.dependencies.claims.release(claim);
      return err(taken.error);
    }
    const permit = taken.value;
    const ending = await this.forward(exchange, request, claim, permit);
    if (ending.notRun && account && permit) this.dependencies.rates.refund(account, permit);
    return ending.refusal ? err(ending.refusal) : ok(undefined);
  }

  private async forward(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    permit: Permit | undefined,
  ): Promise<RequestOutcome> {
    const controller = new AbortController();
    const abandon = superviseRequest(request, exchange.callerGone, claim !== undefined, controller);
    try {
      const forwarded = await this.dependencies.forwarder.forward(
        request,
        permit,
        controller.signal,
      );
      const ending = await this.answer(exchange, request, claim, forwarded, controller);
      if (claim) await this.settleClaim(request, claim, ending);
      this.writeRecordedResponse(exchange, request, claim, ending);
      return ending;
    } finally {
      abandon();
    }
  }

  private async answer(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    forwarded: ForwardResult,
    controller: AbortController,
  ): Promise<RequestOutcome> {
    const { metrics } = this.dependencies;
    if (forwarded.kind === 'refused') {
      return { notRun: forwarded.notRun, refusal: forwarded.refusal };
    }
    metrics.count('requests.accepted', { route: request.route });
    if (forwarded.kind === 'answered') return { notRun: false, response: forwarded.response };
    const endWatch = request.repeatable ? () => undefined : watchKey(request, controller);
    try {
      return await this.relayStream(exchange, request, claim !== undefined, forwarded);
    } finally {
      endWatch();
    }
  }

  private async relayStream(
    { response }: Exchange,
    request: OnlineRequest,
    isKept: boolean,
    { answer, signal, finish }: Extract<ForwardResult, { kind: 'streaming' }>,
  ): Promise<RequestOutcome> {
    const { requestId, route } = request;
    const kept: Buffer[] = [];
    let keptBytes = 0;
    beginStream(response, requestId, answer);
    let next: IteratorResult<Buffer, string> = { done: false, value: answer.firstEvents };
    while (!next.done) {
      const events = next.value;
      keptBytes += events.length;
      if (isKept && keptBytes <= MAX_RECORDED_STREAM_BYTES) kept.push(events);
      await writeEvents(response, events, signal);
      next = await answer.events.next();
    }
    finish();
    if (next.value === 'complete') {
      response.end();
      this.dependencies.metrics.count('requests.completed', { route });
      const whole = isKept && keptBytes <= MAX_RECORDED_STREAM_BYTES;
      return {
        notRun: false,
        ...(whole && {
          response: { status: answer.status, headers: answer.headers, body: Buffer.concat(kept) },
        }),
      };
    }
    this.reportCutStream(response, requestId, getCutCode(signal));
    return { notRun: false };
  }

  private reportCutStream(
    response: Exchange['response'],
    requestId: string,
    code: ResultName,
  ): void {
    this.dependencies.metrics.count('streams.cut', { reason: code });
    this.dependencies.journal.record('stream-cut', { request: requestId, reason: code });
    if (response.destroyed) return;
    cutStream(response, requestId, refuse(code, { run: 'outcome unknown' }));
  }

  private async settleClaim(
    request: OnlineRequest,
    claim: Claim,
    ending: RequestOutcome,
  ): Promise<void> {
    const { claims } = this.dependencies;
    if (ending.notRun) {
      await claims.release(claim);
      return;
    }
    const { response: answer } = ending;
    // A failed request that may run twice is released, so that its resend runs again.
    if (request.repeatable && (!answer || isFailure(answer))) {
      await claims.release(claim);
      return;
    }
    if (answer) await claims.record(claim, answer);
  }

  /** Writes a whole answer, after its record was tried: a resend right after the answer finds the record. */
  private writeRecordedResponse(
    { response }: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    { response: answer }: RequestOutcome,
  ): void {
    if (!answer || response.headersSent) return;
    writeCompleteResponse(response, request.requestId, answer);
    this.dependencies.metrics.count('requests.completed', { route: request.route });
  }
}
