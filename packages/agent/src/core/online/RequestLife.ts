/** One forwarded request from arrival to its end. */
import type { InnerRequest } from '../http/InnerRequest.js';

/** Why a request is given up before its answer is whole. */
export type EndReason = 'caller-gone' | 'deadline' | 'key-withdrawn' | 'stop';

/** One forwarded request from arrival to its end. */
export class RequestLife {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  endReason: EndReason | undefined;

  /**
   * @param request - the forwarded request; its deadline starts to count
   */
  constructor(readonly request: InnerRequest) {
    const leftMs = Math.max(0, request.deadline - performance.now());
    this.timer = setTimeout(() => this.end('deadline'), leftMs);
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
  end(reason: EndReason): void {
    if (this.endReason !== undefined) return;
    this.endReason = reason;
    this.controller.abort();
  }

  /** Stops the timer once the request has its answer. */
  close(): void {
    clearTimeout(this.timer);
  }
}
