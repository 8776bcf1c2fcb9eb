/** Sends a request to one target and passes its response on. */
import type { Target } from '../fleet/Target.js';
import type { Dialect, HeadClassification, ResponseHeaders } from '../http/Dialect.js';
import { INVALID_REQUEST, type TargetCall, type TargetRequest } from '../http/TargetCall.js';
import type { TargetClient } from '../http/TargetClient.js';
import { STATUSES_WITHOUT_BODY } from '../http/TargetExchange.js';
import type { ResponseSink } from './ResponseSink.js';
import { IdleTimeout, type Timers } from './IdleTimeout.js';

/** Outcome of an attempt. */
export type AttemptOutcome =
  /** The complete response was passed on. */
  | {
      readonly kind: 'complete';
      readonly status: number;
      /** Whether the response had neither a length nor chunks, and ended with its connection. */
      readonly isCloseDelimited: boolean;
    }
  /** The request has provably not run; `unreachable` when the target itself has not responded. */
  | { readonly kind: 'not-run'; readonly cause: string; readonly unreachable: boolean }
  /**
   * The connection was lost before the response was complete, or the response was invalid; the request may have run.
   */
  | {
      readonly kind: 'broken';
      readonly cause: string;
      readonly connectionLost: boolean;
      /** Whether the response was under way, see {@link AttemptOptions.onUnderWay}. */
      readonly wasUnderWay: boolean;
    }
  /** The response exceeded the size limit; the request may have run. */
  | { readonly kind: 'overlong'; readonly cause: string }
  /** {@link AttemptOptions.shouldRetryStatus} ended the attempt; the request has run, and nothing was passed on. */
  | { readonly kind: 'failed'; readonly cause: string; readonly status: number }
  /** The idle timeout expired; the request may have run. */
  | { readonly kind: 'silent' }
  /** The signal was aborted: the deadline passed, the caller disconnected, or the run of a batch item was cancelled. */
  | { readonly kind: 'given-up' };

/** Outcomes that count as failures of the target. */
type TargetFault = Extract<AttemptOutcome, { kind: 'broken' | 'overlong' | 'not-run' }>;

/**
 * Checks whether an outcome counts as a failure of the target. Idle timeouts and failure statuses are excluded, as
 * {@link AttemptOptions.onIdleTimeout} and {@link AttemptOptions.onResponse} report them during the attempt.
 *
 * @param outcome - outcome of the attempt
 * @returns whether the target counts as failing
 */
export const isTargetFault = (outcome: AttemptOutcome): outcome is TargetFault =>
  outcome.kind === 'broken' ||
  outcome.kind === 'overlong' ||
  (outcome.kind === 'not-run' && outcome.unreachable);

/** Options of an attempt. */
export interface AttemptOptions {
  readonly client: Pick<TargetClient, 'send'>;
  readonly dialect: Pick<
    Dialect,
    'classifyHead' | 'reportsDraining' | 'selectCallerHeaders' | 'acceptsEventLine'
  >;
  readonly target: Target;
  readonly request: TargetRequest;
  readonly sink: ResponseSink;
  /** Aborted together with the request. */
  readonly signal: AbortSignal;
  /** Timeout for the response head. Unit: ms. */
  readonly headTimeoutMs: number;
  /** Idle timeout between events of the body, or between its parts where it is not split into events. Unit: ms. */
  readonly bodyIdleTimeoutMs: number;
  /**
   * Called when a timeout expires, and again after each further idle period of that length.
   *
   * @returns whether this ends the attempt
   */
  readonly onIdleTimeout: () => boolean;
  /** Called when the target goes on with its body after a timeout that has not ended the attempt. */
  readonly onResumed?: () => void;
  /** Maximum size of the response body. Unit: bytes. */
  readonly maxResponseBytes: number;
  /** Called with the status when the target itself responds. */
  readonly onResponse: (status: number) => void;
  /** Called with the number of parts of the response, or of its events, each time that further ones have arrived. */
  readonly onProgress?: (count: number) => void;
  /**
   * Called once a target has begun to produce a successful response: several parts of it have arrived, or all. Content
   * that crashes targets does so before.
   */
  readonly onUnderWay?: () => void;
  /** Called when the response reports that the target is draining, whatever its status. */
  readonly onDraining: () => void;
  /**
   * Called with the status before any part of the response is passed on.
   *
   * @returns whether this ends the attempt, so that another target can serve the request
   */
  readonly shouldRetryStatus: (status: number) => boolean;
  /** Replaced in tests. */
  readonly timers?: Timers;
}

type NotRunOutcome = Extract<AttemptOutcome, { kind: 'not-run' }>;

const notRunOutcomes: Readonly<Partial<Record<HeadClassification, NotRunOutcome>>> = {
  'not-run': { kind: 'not-run', cause: 'refused by the target', unreachable: false },
  'other-target': {
    kind: 'not-run',
    cause: 'the address belongs to another target',
    unreachable: true,
  },
};

/**
 * Causes with which a connection is lost: the socket error codes, and that of the HTTP client when the target closes
 * the connection. Other failures of a call are invalid responses.
 */
const CONNECTION_LOST_CAUSES: ReadonlySet<string> = new Set([
  'ECONNRESET',
  'EPIPE',
  'UND_ERR_SOCKET',
]);

/** Causes by what makes a response unusable, whose connection is closed. */
const unusableHeads: Readonly<Partial<Record<HeadClassification, string>>> = {
  mismatched: 'response to another request',
  'unproven-refusal': 'refusal that does not state that the request has not run',
};

/** How a transfer coding shows where the body ends. Other codings change the content, and no request asks for them. */
const framingsByTransferCoding: ReadonlyMap<string, 'chunks' | 'none'> = new Map([
  ['chunked', 'chunks'],
  ['identity', 'none'],
]);

/** How a response shows where its body ends; undefined if its transfer coding is not supported. */
const readFraming = (headers: ResponseHeaders): 'length' | 'chunks' | 'none' | undefined => {
  const coding = headers['transfer-encoding'];
  if (coding !== undefined) return framingsByTransferCoding.get(String(coding).toLowerCase());
  return headers['content-length'] === undefined ? 'none' : 'length';
};

/** Number of parts of a response, or of events, after which it is under way. */
const PARTS_UNDER_WAY = 3;

/** Lowest status that does not report success. */
const FIRST_UNSUCCESSFUL_STATUS = 300;

/** Status of a response that contains events. */
const STREAM_STATUS = 200;

const EVENT_STREAM_TYPE = /^text\/event-stream\s*(?:;|$)/i;

/** Checks the content type of a stream. Without one, only its content shows whether it is a stream of events. */
const isEventStream = ({ 'content-type': type }: ResponseHeaders): boolean =>
  type === undefined || (typeof type === 'string' && EVENT_STREAM_TYPE.test(type));

/** State of one attempt, from sending the request to its outcome. */
class Attempt {
  private call: TargetCall | undefined;

  private isSent = false;

  private status = 0;

  /** Size of the body received so far. Unit: bytes. */
  private bodyBytes = 0;

  private readonly idleTimeout: IdleTimeout;

  private hasEnded = false;

  private isUnderWay = false;

  private isSilent = false;

  private isCloseDelimited = false;

  /** Progress of the sink before this attempt. */
  private readonly initialProgress: number;

  private readonly onAbort = (): void => this.abortCall({ kind: 'given-up' });

  constructor(
    private readonly options: AttemptOptions,
    private readonly settle: (outcome: AttemptOutcome) => void,
  ) {
    this.initialProgress = options.sink.progress;
    this.idleTimeout = new IdleTimeout(() => {
      this.isSilent = true;
      if (options.onIdleTimeout()) this.abortCall({ kind: 'silent' });
    }, options.timers);
  }

  run(): void {
    const { client, target, request, signal } = this.options;
    if (signal.aborted) {
      this.settle({ kind: 'given-up' });
      return;
    }
    signal.addEventListener('abort', this.onAbort);
    this.idleTimeout.start(this.options.headTimeoutMs);
    this.call = client.send(target, request, {
      sent: () => {
        this.isSent = true;
      },
      head: (status, headers) => this.handleHead(status, headers),
      data: (chunk) => this.handleData(chunk),
      end: (connectionError) => this.handleEnd(connectionError),
      fail: (error) => this.handleFailure(error),
    });
  }

  private handleHead(status: number, headers: ResponseHeaders): void {
    const { dialect, target, request, sink, bodyIdleTimeoutMs } = this.options;
    const { onResponse, onDraining, shouldRetryStatus } = this.options;
    const classification = dialect.classifyHead(status, headers, request.id);
    const unusableCause = unusableHeads[classification];
    if (unusableCause !== undefined) {
      this.abortCall(this.createBrokenOutcome(unusableCause));
      return;
    }
    if (dialect.reportsDraining(headers)) onDraining();
    const notRun = notRunOutcomes[classification];
    if (!notRun && status === STREAM_STATUS && sink.expectsEvents && !isEventStream(headers)) {
      this.abortCall(this.createBrokenOutcome('response is no stream of events'));
      return;
    }
    if (!notRun?.unreachable) onResponse(status);
    if (notRun) {
      this.finish(notRun);
      this.call?.discard();
      return;
    }
    if (sink.isContinuation && status !== STREAM_STATUS) {
      this.abortCall(this.createBrokenOutcome(`status ${status} to a resumed stream`));
      return;
    }
    if (!sink.isContinuation && shouldRetryStatus(status)) {
      this.finish({ kind: 'failed', cause: `status ${status}`, status });
      this.call?.discard();
      return;
    }
    const framing = readFraming(headers);
    if (!framing) {
      this.abortCall(this.createBrokenOutcome('unsupported transfer coding'));
      return;
    }
    this.status = status;
    this.isSilent = false;
    this.idleTimeout.start(bodyIdleTimeoutMs);
    this.isCloseDelimited =
      framing === 'none' && request.method !== 'HEAD' && !STATUSES_WITHOUT_BODY.has(status);
    sink.begin(
      status,
      dialect.selectCallerHeaders(headers),
      this.isCloseDelimited,
      target.version,
      dialect.acceptsEventLine,
    );
  }

  private handleData(chunk: Buffer): void {
    if (this.status === 0 || this.hasEnded) return;
    const { sink, maxResponseBytes } = this.options;
    const { progress } = sink;
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > maxResponseBytes) {
      this.abortCall({
        kind: 'overlong',
        cause: `response larger than ${maxResponseBytes} bytes`,
      });
      return;
    }
    const acceptsMore = sink.write(chunk);
    if (sink.isUnusable) {
      this.abortCall(this.createBrokenOutcome('events invalid, missing, repeated or too large'));
      return;
    }
    // Bytes that complete no event don't count as activity: the event may never end.
    if (sink.progress > progress) {
      this.recordActivity();
      this.options.onProgress?.(sink.progress - this.initialProgress);
    }
    if (sink.progress - this.initialProgress >= PARTS_UNDER_WAY) this.recordUnderWay();
    if (acceptsMore) return;
    this.call?.pause();
    // While the caller doesn't read, the target can't send and isn't idle.
    this.idleTimeout.stop();
    sink.onceDrained(() => {
      if (this.hasEnded) return;
      this.call?.resume();
      this.idleTimeout.start(this.options.bodyIdleTimeoutMs);
    });
  }

  private handleEnd(connectionError: Error | undefined): void {
    if (this.status === 0) return;
    if (this.isCloseDelimited && connectionError) {
      this.handleFailure(connectionError);
      return;
    }
    if (this.options.sink.isTruncated) {
      // The end of the connection is the only sign of a target that crashes during such a response.
      this.finish(
        this.createBrokenOutcome('response ended inside an event', this.isCloseDelimited),
      );
      return;
    }
    this.recordUnderWay();
    this.finish({
      kind: 'complete',
      status: this.status,
      isCloseDelimited: this.isCloseDelimited,
    });
  }

  private recordActivity(): void {
    this.idleTimeout.recordActivity();
    if (!this.isSilent) return;
    this.isSilent = false;
    this.options.onResumed?.();
  }

  private recordUnderWay(): void {
    if (this.isUnderWay || this.status >= FIRST_UNSUCCESSFUL_STATUS) return;
    this.isUnderWay = true;
    this.options.onUnderWay?.();
  }

  private createBrokenOutcome(cause: string, connectionLost = false): AttemptOutcome {
    return { kind: 'broken', cause, connectionLost, wasUnderWay: this.isUnderWay };
  }

  private handleFailure(error: Error): void {
    const cause = (error as NodeJS.ErrnoException).code ?? error.message;
    const outcome: AttemptOutcome = this.isSent
      ? this.createBrokenOutcome(cause, CONNECTION_LOST_CAUSES.has(cause))
      : { kind: 'not-run', cause, unreachable: cause !== INVALID_REQUEST };
    this.finish(outcome);
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.idleTimeout.stop();
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.settle(outcome);
  }

  /** Ends the attempt and aborts the call, so that the target stops its work. */
  private abortCall(outcome: AttemptOutcome): void {
    this.finish(outcome);
    this.call?.abort();
  }
}

/**
 * Sends a request to one target.
 *
 * @param options - target, request and limits
 * @returns the outcome; never rejects
 */
export const runAttempt = (options: AttemptOptions): Promise<AttemptOutcome> =>
  new Promise((resolve) => {
    new Attempt(options, resolve).run();
  });
