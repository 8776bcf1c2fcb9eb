/** Prevents a request that may run only once from reaching the target twice. */

/** Retention of request ids; longer than any deadline in use. Unit: ms. */
const SENT_ID_RETENTION_MS = 15 * 60_000;

/** Ids of non-repeatable requests that were sent to the target. */
export class SentRequests {
  /** Send times by request id, oldest first. */
  private readonly sent = new Map<string, number>();

  /**
   * Records that a request is about to be sent.
   *
   * @param id - request id
   * @returns whether it may be sent; false when it was sent before
   */
  claim(id: string): boolean {
    const now = performance.now();
    for (const [oldest, sentAt] of this.sent) {
      if (now - sentAt < SENT_ID_RETENTION_MS) break;
      this.sent.delete(oldest);
    }
    if (this.sent.has(id)) return false;
    this.sent.set(id, now);
    return true;
  }

  /**
   * Removes a request that provably did not reach the target.
   *
   * @param id - request id
   */
  release(id: string): void {
    this.sent.delete(id);
  }
}
