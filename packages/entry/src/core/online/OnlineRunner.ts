/** Runs online requests: claims them, acquires a rate permit, forwards them and responds to the caller. */
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

/** Timeout for claimResult a request that must not run without a claim. Unit: ms. */
const CLAIM_TIMEOUT_MS = 3000;

/** Timeout for claimResult a request that may run without a claim. Unit: ms. */
const REPEATABLE_CLAIM_TIMEOUT_MS = 500;

/** Maximum size of a stream that is recorded in its claim. Unit: bytes. */
const MAX_RECORDED_STREAM_BYTES = 8 * 1024 * 1024;

/** Dependencies of {@link OnlineRunner}. */
export interface OnlineRunnerDependencies {
  readonly claims: ClaimStore;
  readonly rates: RateShares;
  readonly forwarder: Forwarder;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Outcome of a request, as far as its claim and permit are concerned. */
interface RequestOutcome {
  /** Response to record in the claim. */
  readonly response?: RecordedResponse;
  /** Whether the request provably did not run on any target. */
  readonly notRun: boolean;
  readonly refusal?: Refusal;
  /** Whether all events of a complete stream were passed on, while the caller's response is still open. */
  readonly streamed?: boolean;
}

const isFailure = ({ status }: RecordedResponse): boolean => status >= 500 || status === 429;

/** Returns the result code for a stream that was cut. */
const getCutCode = (signal: AbortSignal): ResultName => {
  const reason: unknown = signal.reason;
  if (!signal.aborted || !(reason instanceof Abandoned)) return 'target-failed';
  const { abortReason: cause } = reason;
  if (cause.kind === 'not-allowed') return cause.code;
  return cause.kind === 'deadline' ? 'deadline-passed' : 'target-failed';
};

/** Continues a request, by the outcome of claimResult it. */
type ClaimOutcomeHandlers = {
  readonly [Kind in ClaimResult['kind']]: (
    exchange: Exchange,
    request: OnlineRequest,
    claimResult: Extract<ClaimResult, { kind: Kind }>,
  ) => Promise<Result<void, Refusal>>;
};

/** Runs online requests. */
export class OnlineRunner {
  private readonly claimOutcomeHandlers: ClaimOutcomeHandlers = {
    claimed: (exchange, request, { claim }) => this.runWithPermit(exchange, request, claim),
    replay: (exchange, request, { answer }) => {
      this.dependencies.metrics.count('requests.replayed', { route: request.route });
      writeCompleteResponse(exchange.response, request.requestId, answer, true);
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
   * Runs a request and writes its response.
   *
   * @param exchange - HTTP exchange with the caller
   * @param request - the checked request
   * @returns nothing if a response was started, otherwise the refusal
   */
  async run(exchange: Exchange, request: OnlineRequest): Promise<Result<void, Refusal>> {
    const crashRefusal = this.dependencies.forwarder.getCrashRefusal(request.fingerprint);
    if (crashRefusal) return err(crashRefusal);
    if (request.identities.length === 0) return this.runWithPermit(exchange, request);
    return this.runClaimed(exchange, request);
  }

  private async runClaimed(
    exchange: Exchange,
    request: OnlineRequest,
  ): Promise<Result<void, Refusal>> {
    // Checked first, so that requests beyond the rate limit do not cost the table a claim and a release each.
    const rateCheck = await this.checkRate(request);
    if (rateCheck.isErr()) return err(rateCheck.error);
    const limitMs = request.repeatable ? REPEATABLE_CLAIM_TIMEOUT_MS : CLAIM_TIMEOUT_MS;
    const deadline = Math.min(request.deadline, performance.now() + limitMs);
    const { identities, fingerprint, wallDeadline: endsBy, repeatable } = request;
    const claimRequest = { identities, fingerprint, deadline, endsBy, repeatable };
    const claimResult = await this.dependencies.claims.claim(claimRequest);
    return this.claimOutcomeHandlers[claimResult.kind](exchange, request, claimResult as never);
  }

  private async checkRate({ account }: OnlineRequest): Promise<Result<void, Refusal>> {
    if (!account) return ok(undefined);
    const acquired = await this.dependencies.rates.acquire(account);
    return acquired.map((permit) => this.dependencies.rates.refund(account, permit));
  }

  private async runWithPermit(
    exchange: Exchange,
    request: OnlineRequest,
    claim?: Claim,
  ): Promise<Result<void, Refusal>> {
    const { account } = request;
    const acquired = account ? await this.dependencies.rates.acquire(account) : ok(undefined);
    if (acquired.isErr()) {
      if (claim) await this.dependencies.claims.release(claim);
      return err(acquired.error);
    }
    const permit = acquired.value;
    const outcome = await this.forward(exchange, request, claim, permit);
    if (outcome.notRun && account && permit) this.dependencies.rates.refund(account, permit);
    return outcome.refusal ? err(outcome.refusal) : ok(undefined);
  }

  private async forward(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    permit: Permit | undefined,
  ): Promise<RequestOutcome> {
    const controller = new AbortController();
    const stopSupervising = superviseRequest(
      request,
      exchange.callerGone,
      claim !== undefined,
      controller,
    );
    try {
      const forwardResult = await this.dependencies.forwarder.forward(
        request,
        permit,
        controller.signal,
      );
      const outcome = await this.handleForwardResult(
        exchange,
        request,
        claim,
        forwardResult,
        controller,
      );
      if (claim) await this.settleClaim(request, claim, outcome);
      this.endResponse(exchange, request, outcome);
      return outcome;
    } finally {
      stopSupervising();
    }
  }

  private async handleForwardResult(
    exchange: Exchange,
    request: OnlineRequest,
    claim: Claim | undefined,
    forwardResult: ForwardResult,
    controller: AbortController,
  ): Promise<RequestOutcome> {
    const { metrics } = this.dependencies;
    if (forwardResult.kind === 'refused') {
      return { notRun: forwardResult.notRun, refusal: forwardResult.refusal };
    }
    metrics.count('requests.accepted', { route: request.route });
    if (forwardResult.kind === 'answered')
      return { notRun: false, response: forwardResult.response };
    const stopWatching = request.repeatable ? () => undefined : watchKey(request, controller);
    try {
      return await this.relayStream(exchange, request, claim !== undefined, forwardResult);
    } finally {
      stopWatching();
    }
  }

  private async relayStream(
    { response }: Exchange,
    request: OnlineRequest,
    shouldRecord: boolean,
    { response: streamed, signal, finish }: Extract<ForwardResult, { kind: 'streaming' }>,
  ): Promise<RequestOutcome> {
    const { requestId } = request;
    const recorded: Buffer[] = [];
    let streamBytes = 0;
    beginStream(response, requestId, streamed);
    let next: IteratorResult<Buffer, string> = { done: false, value: streamed.firstEvents };
    while (!next.done) {
      const events = next.value;
      streamBytes += events.length;
      if (shouldRecord && streamBytes <= MAX_RECORDED_STREAM_BYTES) recorded.push(events);
      await writeEvents(response, events, signal);
      next = await streamed.events.next();
    }
    finish();
    if (next.value === 'complete') {
      const canRecord = shouldRecord && streamBytes <= MAX_RECORDED_STREAM_BYTES;
      return {
        notRun: false,
        streamed: true,
        ...(canRecord && {
          response: {
            status: streamed.status,
            headers: streamed.headers,
            body: Buffer.concat(recorded),
          },
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
    outcome: RequestOutcome,
  ): Promise<void> {
    const { claims } = this.dependencies;
    if (outcome.notRun) {
      await claims.release(claim);
      return;
    }
    const { response } = outcome;
    // The claim of a failed repeatable request is released, so that a resend runs again.
    if (request.repeatable && (!response || isFailure(response))) {
      await claims.release(claim);
      return;
    }
    if (response) await claims.record(claim, response);
  }

  /** Ends a complete response. Called after recording it, so that an immediate resend finds the record. */
  private endResponse(
    { response }: Exchange,
    request: OnlineRequest,
    { response: targetResponse, streamed }: RequestOutcome,
  ): void {
    if (streamed) response.end();
    else if (targetResponse && !response.headersSent)
      writeCompleteResponse(response, request.requestId, targetResponse);
    else return;
    this.dependencies.metrics.count('requests.completed', { route: request.route });
  }
}
