/** One forwarded request from arrival to its end. */
import type { InnerRequest } from '../http/InnerRequest.js';

/** Why a request is given up before its answer is whole. */
export type AbortReason = 'caller-gone' | 'deadline' | 'key-withdrawn' | 'stop';

/** One forwarded request from arrival to its end. */
export class RequestLifetime {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private reason: AbortReason | undefined;

  /**
   * @param request - the forwarded request; its deadline starts to count
   */
  constructor(readonly request: InnerRequest) {
    const leftMs = Math.max(0, request.deadline - performance.now());
    this.timer = setTimeout(() => this.abort('deadline'), leftMs);
  }

  /**
   * Why the request was given up. After a pause of the process the deadline may have passed before its
   * timer runs.
   */
  get abortReason(): AbortReason | undefined {
    if (this.reason === undefined && performance.now() >= this.request.deadline) {
      this.abort('deadline');
    }
    return this.reason;
  }

  /** Aborted when the request is given up. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Gives the request up; the first reason stays.
   *
   * @param reason - why
   */
  abort(reason: AbortReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.controller.abort();
  }

  /** Stops the timer once the request has its answer. */
  close(): void {
    clearTimeout(this.timer);
  }
}
