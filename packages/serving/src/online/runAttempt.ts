/** Sends a request to one target and passes its answer on. */
import type { Target } from '../fleet/Target.js';
import type { Dialect, HeadClassification } from '../http/Dialect.js';
import type { TargetCall, TargetRequest } from '../http/TargetCall.js';
import type { TargetClient } from '../http/TargetClient.js';
import type { ResponseSink } from './ResponseSink.js';
import { IdleTimeout, type Timers } from './IdleTimeout.js';

/** How an attempt ended. */
export type AttemptOutcome =
  /** The caller has got the whole answer. */
  | { readonly kind: 'complete'; readonly status: number }
  /** The request has provably not run; `unreachable` when the target itself has not answered. */
  | { readonly kind: 'not-run'; readonly cause: string; readonly unreachable: boolean }
  /** The target broke off, or its answer belongs to another request; the request may have run. */
  | { readonly kind: 'broken'; readonly cause: string }
  /** The target sent more than any answer may have; the request may have run. */
  | { readonly kind: 'overlong'; readonly cause: string }
  /** The target answered that it failed; the request has run. */
  | { readonly kind: 'failed'; readonly cause: string; readonly status: number }
  /** The target gave no sign for too long; the request may have run. */
  | { readonly kind: 'silent' }
  /** The deadline came, or the caller went away. */
  | { readonly kind: 'given-up' };

/** Ends that say something about the target. */
type TargetFault = Extract<AttemptOutcome, { kind: 'broken' | 'overlong' | 'not-run' }>;

/**
 * Tells whether an attempt ended by a fault of its target, which did not say so itself.
 *
 * @param end - how the attempt ended
 * @returns whether the target counts as failing
 */
export const isTargetFault = (end: AttemptOutcome): end is TargetFault =>
  end.kind === 'broken' || end.kind === 'overlong' || (end.kind === 'not-run' && end.unreachable);

/** What an attempt needs. */
export interface AttemptOptions {
  readonly client: Pick<TargetClient, 'send'>;
  readonly dialect: Pick<Dialect, 'judgeHead' | 'saysLeaving' | 'callerHeaders'>;
  readonly target: Target;
  readonly request: TargetRequest;
  readonly requestId: string;
  readonly sink: ResponseSink;
  /** Aborted when the request is given up. */
  readonly signal: AbortSignal;
  /** Longest silence before the first byte of the answer. Unit: ms. */
  readonly headTimeoutMs: number;
  /** Longest silence between events of the answer, or between its bytes where events are not told apart. Unit: ms. */
  readonly bodyIdleTimeoutMs: number;
  /**
   * Called when a silence has been too long, again after each further time of that length.
   *
   * @returns whether the attempt ends with it
   */
  readonly onIdleTimeout: () => boolean;
  /** Largest body of the answer. Unit: bytes. */
  readonly maxResponseBytes: number;
  /** Called when the target itself answers, with the status of its answer. */
  readonly onResponse: (status: number) => void;
  /** Called when the target says that it leaves, whatever else its answer says. */
  readonly onDraining: () => void;
  /**
   * Called with the status of an answer before anything of it is passed on.
   *
   * @returns whether the attempt ends with it, so that another target can answer
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

/** State of one attempt, from the send to its end. */
class Attempt {
  private call: TargetCall | undefined;

  private isSent = false;

  private status = 0;

  /** Bytes of the body so far. */
  private bodyBytes = 0;

  private readonly idleTimeout: IdleTimeout;

  private hasEnded = false;

  private readonly onAbort = (): void => this.abortCall({ kind: 'given-up' });

  constructor(
    private readonly options: AttemptOptions,
    private readonly settle: (end: AttemptOutcome) => void,
  ) {
    this.idleTimeout = new IdleTimeout(() => {
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
      end: () => this.handleEnd(),
      fail: (error) => this.handleFailure(error),
    });
  }

  private handleHead(status: number, headers: Parameters<Dialect['callerHeaders']>[0]): void {
    const {
      dialect,
      requestId,
      sink: answer,
      onResponse: onSign,
      onDraining: onLeaving,
      shouldRetryStatus: isFailure,
      bodyIdleTimeoutMs: nextSilenceMs,
    } = this.options;
    if (dialect.saysLeaving(headers)) onLeaving();
    const verdict = dialect.judgeHead(status, headers, requestId);
    const notRun = notRunOutcomes[verdict];
    if (!notRun?.unreachable) onSign(status);
    if (notRun) {
      this.finish(notRun);
      this.call?.discard();
      return;
    }
    if (verdict === 'mismatched') {
      this.abortCall({ kind: 'broken', cause: 'answer to another request' });
      return;
    }
    if (answer.started && status !== 200) {
      this.abortCall({ kind: 'broken', cause: `status ${status} to a resumed stream` });
      return;
    }
    if (!answer.started && isFailure(status)) {
      this.finish({ kind: 'failed', cause: `status ${status}`, status });
      this.call?.discard();
      return;
    }
    this.status = status;
    this.idleTimeout.start(nextSilenceMs);
    answer.begin(status, dialect.callerHeaders(headers));
  }

  private handleData(chunk: Buffer): void {
    if (this.status === 0 || this.hasEnded) return;
    const { sink: answer, maxResponseBytes: answerBytes } = this.options;
    const { progress } = answer;
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > answerBytes) {
      this.abortCall({ kind: 'overlong', cause: `answer of more than ${answerBytes} bytes` });
      return;
    }
    const mayGoOn = answer.write(chunk);
    if (answer.isUnusable) {
      this.abortCall({ kind: 'broken', cause: 'events missing, repeated or without end' });
      return;
    }
    // Bytes of an event that never ends are no sign of life.
    if (answer.progress > progress) this.idleTimeout.recordActivity();
    if (mayGoOn) return;
    this.call?.pause();
    // A caller that does not read is no silence of the target.
    this.idleTimeout.stop();
    answer.onceDrained(() => {
      if (this.hasEnded) return;
      this.call?.resume();
      this.idleTimeout.start(this.options.bodyIdleTimeoutMs);
    });
  }

  private handleEnd(): void {
    if (this.status === 0) return;
    if (this.options.sink.isTruncated) {
      this.finish({ kind: 'broken', cause: 'stopped inside an event' });
      return;
    }
    this.finish({ kind: 'complete', status: this.status });
  }

  private handleFailure(error: Error): void {
    const { code } = error as NodeJS.ErrnoException;
    const cause = code ?? error.message;
    const end: AttemptOutcome = this.isSent
      ? { kind: 'broken', cause }
      : { kind: 'not-run', cause, unreachable: true };
    this.finish(end);
  }

  private finish(end: AttemptOutcome): void {
    if (this.hasEnded) return;
    this.hasEnded = true;
    this.idleTimeout.stop();
    this.options.signal.removeEventListener('abort', this.onAbort);
    this.settle(end);
  }

  /** Ends the attempt, and the work of the target with it. */
  private abortCall(end: AttemptOutcome): void {
    this.finish(end);
    this.call?.abort();
  }
}

/**
 * Sends a request to one target.
 *
 * @param terms - target, request and limits
 * @returns how the attempt ended; never rejects
 */
export const runAttempt = (terms: AttemptOptions): Promise<AttemptOutcome> =>
  new Promise((resolve) => {
    new Attempt(terms, resolve).run();
  });
