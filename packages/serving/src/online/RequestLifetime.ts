/** Lifetime of a request: until its deadline, until its caller disconnects, or until its host has to stop. */
import type { ServerResponse } from 'node:http';
import type { Shutdown } from '../http/Shutdown.js';

/** Why a request was aborted. */
export type AbortReason = 'deadline' | 'caller-gone' | 'stopping';

/**
 * Aborts one request at its deadline, when its caller disconnects, or when its host has to stop and the response has not
 * started.
 */
export class RequestLifetime {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private readonly removeListener: () => void;

  /** Why the request was aborted; undefined until then. */
  abortReason: AbortReason | undefined;

  constructor(
    response: ServerResponse,
    /** Monotonic time. Unit: ms. */
    readonly deadline: number,
    shutdown: Shutdown,
  ) {
    this.timer = setTimeout(() => this.abort('deadline'), this.remainingMs);
    if (this.remainingMs <= 0) this.abort('deadline');
    response.once('close', () => {
      if (!response.writableFinished) this.abort('caller-gone');
    });
    this.removeListener = shutdown.onAnswersDue(() => {
      if (!response.headersSent) this.abort('stopping');
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

  /** Stops watching the deadline and the stop of the host. */
  end(): void {
    this.removeListener();
    clearTimeout(this.timer);
  }

  private abort(reason: AbortReason): void {
    this.abortReason ??= reason;
    this.controller.abort();
  }
}
