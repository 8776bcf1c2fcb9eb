/** Sends a request to one target and passes its answer on. */
import type { Target } from '../fleet/Target.js';
import type { Dialect, HeadVerdict } from '../http/Dialect.js';
import type { TargetCall, TargetRequest } from '../http/TargetCall.js';
import type { TargetClient } from '../http/TargetClient.js';
import type { AnswerSink } from './AnswerSink.js';
import { SilenceWatch, type Timers } from './SilenceWatch.js';

/** How an attempt ended. */
export type AttemptEnd =
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
type TargetFault = Extract<AttemptEnd, { kind: 'broken' | 'overlong' | 'not-run' }>;

/**
 * Tells whether an attempt ended by a fault of its target, which did not say so itself.
 *
 * @param end - how the attempt ended
 * @returns whether the target counts as failing
 */
export const isTargetFault = (end: AttemptEnd): end is TargetFault =>
  end.kind === 'broken' || end.kind === 'overlong' || (end.kind === 'not-run' && end.unreachable);

/** What an attempt needs. */
export interface AttemptTerms {
  readonly client: Pick<TargetClient, 'send'>;
  readonly dialect: Pick<Dialect, 'judgeHead' | 'saysLeaving' | 'callerHeaders'>;
  readonly target: Target;
  readonly request: TargetRequest;
  readonly requestId: string;
  readonly answer: AnswerSink;
  /** Aborted when the request is given up. */
  readonly signal: AbortSignal;
  /** Longest silence before the first byte of the answer. Unit: ms. */
  readonly firstSilenceMs: number;
  /** Longest silence between events of the answer, or between its bytes where events are not told apart. Unit: ms. */
  readonly nextSilenceMs: number;
  /**
   * Called when a silence has been too long, again after each further time of that length.
   *
   * @returns whether the attempt ends with it
   */
  readonly onSilence: () => boolean;
  /** Largest body of the answer. Unit: bytes. */
  readonly answerBytes: number;
  /** Called when the target itself answers, with the status of its answer. */
  readonly onSign: (status: number) => void;
  /** Called when the target says that it leaves, whatever else its answer says. */
  readonly onLeaving: () => void;
  /**
   * Called with the status of an answer before anything of it is passed on.
   *
   * @returns whether the attempt ends with it, so that another target can answer
   */
  readonly isFailure: (status: number) => boolean;
  /** Replaced in tests. */
  readonly timers?: Timers;
}

type NotRun = Extract<AttemptEnd, { kind: 'not-run' }>;

const notRunVerdicts: Readonly<Partial<Record<HeadVerdict, NotRun>>> = {
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

  private sent = false;

  private status = 0;

  /** Bytes of the body so far. */
  private bodyBytes = 0;

  private readonly silence: SilenceWatch;

  private ended = false;

  private readonly giveUp = (): void => this.abandon({ kind: 'given-up' });

  constructor(
    private readonly terms: AttemptTerms,
    private readonly settle: (end: AttemptEnd) => void,
  ) {
    this.silence = new SilenceWatch(() => {
      if (terms.onSilence()) this.abandon({ kind: 'silent' });
    }, terms.timers);
  }

  run(): void {
    const { client, target, request, signal } = this.terms;
    if (signal.aborted) {
      this.settle({ kind: 'given-up' });
      return;
    }
    signal.addEventListener('abort', this.giveUp);
    this.silence.start(this.terms.firstSilenceMs);
    this.call = client.send(target, request, {
      sent: () => {
        this.sent = true;
      },
      head: (status, headers) => this.takeHead(status, headers),
      data: (chunk) => this.takeData(chunk),
      end: () => this.takeEnd(),
      fail: (error) => this.takeFailure(error),
    });
  }

  private takeHead(status: number, headers: Parameters<Dialect['callerHeaders']>[0]): void {
    const { dialect, requestId, answer, onSign, onLeaving, isFailure, nextSilenceMs } = this.terms;
    if (dialect.saysLeaving(headers)) onLeaving();
    const verdict = dialect.judgeHead(status, headers, requestId);
    const notRun = notRunVerdicts[verdict];
    if (!notRun?.unreachable) onSign(status);
    if (notRun) {
      this.finish(notRun);
      this.call?.discard();
      return;
    }
    if (verdict === 'mismatched') {
      this.abandon({ kind: 'broken', cause: 'answer to another request' });
      return;
    }
    if (answer.started && status !== 200) {
      this.abandon({ kind: 'broken', cause: `status ${status} to a resumed stream` });
      return;
    }
    if (!answer.started && isFailure(status)) {
      this.finish({ kind: 'failed', cause: `status ${status}`, status });
      this.call?.discard();
      return;
    }
    this.status = status;
    this.silence.start(nextSilenceMs);
    answer.begin(status, dialect.callerHeaders(headers));
  }

  private takeData(chunk: Buffer): void {
    if (this.status === 0 || this.ended) return;
    const { answer, answerBytes } = this.terms;
    const { progress } = answer;
    this.bodyBytes += chunk.length;
    if (this.bodyBytes > answerBytes) {
      this.abandon({ kind: 'overlong', cause: `answer of more than ${answerBytes} bytes` });
      return;
    }
    const mayGoOn = answer.write(chunk);
    if (answer.isUnusable) {
      this.abandon({ kind: 'broken', cause: 'events missing, repeated or without end' });
      return;
    }
    // Bytes of an event that never ends are no sign of life.
    if (answer.progress > progress) this.silence.sign();
    if (mayGoOn) return;
    this.call?.pause();
    // A caller that does not read is no silence of the target.
    this.silence.stop();
    answer.onceDrained(() => {
      if (this.ended) return;
      this.call?.resume();
      this.silence.start(this.terms.nextSilenceMs);
    });
  }

  private takeEnd(): void {
    if (this.status === 0) return;
    if (this.terms.answer.isTorn) {
      this.finish({ kind: 'broken', cause: 'stopped inside an event' });
      return;
    }
    this.finish({ kind: 'complete', status: this.status });
  }

  private takeFailure(error: Error): void {
    const { code } = error as NodeJS.ErrnoException;
    const cause = code ?? error.message;
    const end: AttemptEnd = this.sent
      ? { kind: 'broken', cause }
      : { kind: 'not-run', cause, unreachable: true };
    this.finish(end);
  }

  private finish(end: AttemptEnd): void {
    if (this.ended) return;
    this.ended = true;
    this.silence.stop();
    this.terms.signal.removeEventListener('abort', this.giveUp);
    this.settle(end);
  }

  /** Ends the attempt, and the work of the target with it. */
  private abandon(end: AttemptEnd): void {
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
export const sendOnce = (terms: AttemptTerms): Promise<AttemptEnd> =>
  new Promise((resolve) => {
    new Attempt(terms, resolve).run();
  });
