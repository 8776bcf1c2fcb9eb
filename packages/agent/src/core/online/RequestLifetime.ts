/** Lifetime of a forwarded request, from arrival to its end. */
import type { InnerRequest } from '../http/InnerRequest.js';

/** Why a request is aborted before its response is complete. */
export type AbortReason = 'caller-gone' | 'deadline' | 'key-withdrawn' | 'stop';

/** Lifetime of a forwarded request. */
export class RequestLifetime {
  private readonly controller = new AbortController();

  private readonly timer: NodeJS.Timeout;

  private reason: AbortReason | undefined;

  /**
   * @param request - the forwarded request, which is aborted at its deadline
   */
  constructor(readonly request: InnerRequest) {
    const remainingMs = Math.max(0, request.deadline - performance.now());
    this.timer = setTimeout(() => this.abort('deadline'), remainingMs);
  }

  /**
   * Why the request was aborted. The deadline is checked here too, because after a pause of the
   * process it may have passed before its timer fires.
   */
  get abortReason(): AbortReason | undefined {
    if (this.reason === undefined && performance.now() >= this.request.deadline) {
      this.abort('deadline');
    }
    return this.reason;
  }

  /** Aborted with the request. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  /**
   * Aborts the request; only the first call has an effect.
   *
   * @param reason - why the request is aborted
   */
  abort(reason: AbortReason): void {
    if (this.reason !== undefined) return;
    this.reason = reason;
    this.controller.abort();
  }

  /** Stops the timer when the request has ended. */
  close(): void {
    clearTimeout(this.timer);
  }
}
