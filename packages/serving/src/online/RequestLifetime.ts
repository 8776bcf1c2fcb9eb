/** How long a request lives: until its deadline, or until its caller goes away. */
import type { ServerResponse } from 'node:http';

/** Why a request was given up. */
export type AbortReason = 'deadline' | 'caller-gone';

/** Life of one request. */
export class RequestLifetime {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  /** Why the request was given up; absent while it lives. */
  abortReason: AbortReason | undefined;

  constructor(
    response: ServerResponse,
    /** Monotonic time. Unit: ms. */
    readonly deadline: number,
  ) {
    this.timer = setTimeout(() => this.abort('deadline'), deadline - performance.now());
    response.once('close', () => {
      if (!response.writableFinished) this.abort('caller-gone');
    });
  }

  /**
   * Gives the signal that is aborted when the request is given up.
   *
   * @returns the signal
   */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Tells how much time is left.
   *
   * @returns time to the deadline. Unit: ms
   */
  get remainingMs(): number {
    return this.deadline - performance.now();
  }

  /** Ends the watch. */
  end(): void {
    clearTimeout(this.timer);
  }

  private abort(cause: AbortReason): void {
    this.abortReason ??= cause;
    this.controller.abort();
  }
}
