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

  private timer: NodeJS.Timeout | undefined;

  private readonly removeListener: () => void;

  /** Why the request was aborted; undefined until then. */
  abortReason: AbortReason | undefined;

  private deadlineTime: number;

  /**
   * Begins a lifetime.
   *
   * @param response - response of the request
   * @param deadline - monotonic time. Unit: ms
   * @param shutdown - stop of the host
   */
  constructor(response: ServerResponse, deadline: number, shutdown: Shutdown) {
    this.deadlineTime = deadline;
    this.moveDeadline(deadline);
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

  /** Deadline as monotonic time. Unit: ms. */
  get deadline(): number {
    return this.deadlineTime;
  }

  /**
   * Sets another deadline, unless the request was aborted.
   *
   * @param deadline - monotonic time. Unit: ms
   */
  moveDeadline(deadline: number): void {
    if (this.abortReason) return;
    this.deadlineTime = deadline;
    clearTimeout(this.timer);
    if (this.remainingMs <= 0) this.abort('deadline');
    else this.timer = setTimeout(() => this.abort('deadline'), this.remainingMs);
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

  /** Ends the lifetime, and aborts the calls that still go on for the request. */
  cancel(): void {
    this.end();
    this.controller.abort();
  }

  private abort(reason: AbortReason): void {
    this.abortReason ??= reason;
    this.controller.abort();
  }
}
