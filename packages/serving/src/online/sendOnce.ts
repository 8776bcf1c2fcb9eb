/** Sends a request to one target and passes its answer on. */
import type { Target } from '../fleet/Target.js';
import type { Dialect, HeadVerdict } from '../http/Dialect.js';
import type { TargetCall, TargetClient, TargetRequest } from '../http/TargetClient.js';
import type { AnswerSink } from './AnswerSink.js';

/** How an attempt ended. */
export type AttemptEnd =
  /** The caller has got the whole answer. */
  | { readonly kind: 'complete'; readonly status: number }
  /** The request has provably not run; `unreachable` when the target itself has not answered. */
  | { readonly kind: 'not-run'; readonly cause: string; readonly unreachable: boolean }
  /** The target broke off, or its answer belongs to another request; the request may have run. */
  | { readonly kind: 'broken'; readonly cause: string }
  /** The target gave no sign for too long; the request may have run. */
  | { readonly kind: 'silent' }
  /** The deadline came, or the caller went away. */
  | { readonly kind: 'given-up' };

/** What an attempt needs. */
export interface AttemptTerms {
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly target: Target;
  readonly request: TargetRequest;
  readonly requestId: string;
  readonly answer: AnswerSink;
  /** Aborted when the request is given up. */
  readonly signal: AbortSignal;
  /** Longest silence before the first byte of the answer. Unit: ms. */
  readonly firstSilenceMs: number;
  /** Longest silence between parts of the answer. Unit: ms. */
  readonly nextSilenceMs: number;
  /**
   * Called when a silence has been too long.
   *
   * @returns whether the attempt ends with it
   */
  readonly onSilence: () => boolean;
  /** Called when the target itself answers. */
  readonly onSign: () => void;
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

  private silenceTimer: NodeJS.Timeout | undefined;

  private readonly giveUp = (): void => this.finish({ kind: 'given-up' }, true);

  constructor(
    private readonly terms: AttemptTerms,
    private readonly settle: (end: AttemptEnd) => void,
  ) {}

  run(): void {
    const { client, target, request, signal } = this.terms;
    if (signal.aborted) {
      this.settle({ kind: 'given-up' });
      return;
    }
    signal.addEventListener('abort', this.giveUp);
    this.watchSilence(this.terms.firstSilenceMs);
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
    const { dialect, requestId, answer, onSign, nextSilenceMs } = this.terms;
    const verdict = dialect.judgeHead(status, headers, requestId);
    const notRun = notRunVerdicts[verdict];
    if (!notRun?.unreachable) onSign();
    if (notRun) {
      this.finish(notRun, false);
      return;
    }
    if (verdict === 'mismatched') {
      this.finish({ kind: 'broken', cause: 'answer to another request' }, true);
      return;
    }
    if (answer.started && status !== 200) {
      this.finish({ kind: 'broken', cause: `status ${status} to a resumed stream` }, true);
      return;
    }
    this.status = status;
    this.watchSilence(nextSilenceMs);
    answer.begin(status, dialect.callerHeaders(headers));
  }

  private takeData(chunk: Buffer): void {
    if (this.status === 0) return;
    this.silenceTimer?.refresh();
    if (this.terms.answer.write(chunk)) return;
    this.call?.pause();
    // A caller that does not read is no silence of the target.
    clearTimeout(this.silenceTimer);
    this.terms.answer.onceDrained(() => {
      this.call?.resume();
      this.silenceTimer?.refresh();
    });
  }

  private takeEnd(): void {
    if (this.status === 0) return;
    if (this.terms.answer.isTorn) {
      this.finish({ kind: 'broken', cause: 'stopped inside an event' }, false);
      return;
    }
    this.finish({ kind: 'complete', status: this.status }, false);
  }

  private takeFailure(error: Error): void {
    const { code } = error as NodeJS.ErrnoException;
    const cause = code ?? error.message;
    const end: AttemptEnd = this.sent
      ? { kind: 'broken', cause }
      : { kind: 'not-run', cause, unreachable: true };
    this.finish(end, false);
  }

  private watchSilence(ms: number): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = setTimeout(() => {
      if (this.terms.onSilence()) this.finish({ kind: 'silent' }, true);
    }, ms);
  }

  private finish(end: AttemptEnd, abort: boolean): void {
    clearTimeout(this.silenceTimer);
    this.silenceTimer = undefined;
    this.terms.signal.removeEventListener('abort', this.giveUp);
    this.settle(end);
    if (abort) this.call?.abort();
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
