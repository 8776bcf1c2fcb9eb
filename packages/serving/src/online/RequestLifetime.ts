/** Lifetime of a request: until its deadline, or until its caller disconnects. */
import type { ServerResponse } from 'node:http';

/** Why a request was aborted. */
export type AbortReason = 'deadline' | 'caller-gone';

/** Aborts one request at its deadline, or when its caller disconnects. */
export class RequestLifetime {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  /** Why the request was aborted; undefined until then. */
  abortReason: AbortReason | undefined;

  constructor(
    response: ServerResponse,
    /** Monotonic time. Unit: ms. */
    readonly deadline: number,
  ) {
    this.timer = setTimeout(() => this.abort('deadline'), this.remainingMs);
    if (this.remainingMs <= 0) this.abort('deadline');
    response.once('close', () => {
      if (!response.writableFinished) this.abort('caller-gone');
    });
  }

  /**
   * Returns a signal that is aborted with the request.
   *
   * @returns the signal
   */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Returns the time left until the deadline.
   *
   * @returns remaining time; negative after the deadline. Unit: ms
   */
  get remainingMs(): number {
    return this.deadline - performance.now();
  }

  /** Stops the deadline timer. */
  end(): void {
    clearTimeout(this.timer);
  }

  private abort(reason: AbortReason): void {
    this.abortReason ??= reason;
    this.controller.abort();
  }
}
