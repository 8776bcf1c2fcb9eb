/** Phases of a host's stop that concern requests. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';

/** Retry delay while the host stops; other hosts serve the request at once. Unit: seconds. */
const RETRY_SECONDS = 0.1;

/**
 * Refuses a request that no target can have run.
 *
 * @returns the refusal
 */
export const refuseStopping = (): Refusal =>
  refuse('stopping', { retryAfterSeconds: RETRY_SECONDS });

/** Tells requests how far the stop of their host is. */
export class Shutdown {
  private readonly listeners = new Set<() => void>();

  private areAnswersDue = false;

  /** Whether requests that no target has yet are refused. */
  isIntakeOver = false;

  /** Monotonic time at which requests without a response get a final one. Unit: ms. */
  answersDueAt = Number.POSITIVE_INFINITY;

  /** Refuses from now on all requests that no target has yet. */
  endIntake(): void {
    this.isIntakeOver = true;
  }

  /** Ends all requests whose response has not started. */
  requireAnswers(): void {
    this.areAnswersDue = true;
    this.listeners.forEach((listener) => listener());
    this.listeners.clear();
  }

  /**
   * Adds a listener that is called once answers are due; at once if they are.
   *
   * @param listener - called at most once
   * @returns function that removes the listener
   */
  onAnswersDue(listener: () => void): () => void {
    if (this.areAnswersDue) listener();
    else this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  /**
   * Waits for a result, at most until answers are due.
   *
   * @param pending - the result
   * @param createSubstitute - creates the result if answers are due first
   * @returns the result
   */
  async settle<Value>(pending: Promise<Value>, createSubstitute: () => Value): Promise<Value> {
    let removeListener: (() => void) | undefined;
    const due = new Promise<Value>((resolve) => {
      removeListener = this.onAnswersDue(() => resolve(createSubstitute()));
    });
    try {
      return await Promise.race([pending, due]);
    } finally {
      removeListener?.();
    }
  }
}
