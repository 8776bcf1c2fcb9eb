/** Detects outages of the store from the calls of this host, as against the loss of single connections or responses. */

/**
 * Minimum time without any response that counts as an outage. A registration only expires after its target has failed to
 * renew it several times, which takes longer. Unit: ms.
 */
const MIN_OUTAGE_MS = 1000;

/** Tracks whether the store responds to this host. */
export class StoreContact {
  private respondedAt = Number.NEGATIVE_INFINITY;

  /** Time since which no call has got a response, though at least one has failed. Unit: ms. */
  private unavailableSince: number | undefined;

  private outageEndedAt = Number.NEGATIVE_INFINITY;

  /**
   * Records a response to any call.
   *
   * @param now - monotonic time. Unit: ms
   */
  recordResponse(now: number): void {
    if (this.isOutage(now)) this.outageEndedAt = now;
    this.unavailableSince = undefined;
    this.respondedAt = now;
  }

  /**
   * Records a failed call.
   *
   * @param sentAt - monotonic time at which it was sent. Unit: ms
   * @param holdMs - timeout of its long poll. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(sentAt: number, holdMs: number, now: number): void {
    // A connection that is lost within the long poll tells nothing of the time before.
    const since = now - sentAt > holdMs ? sentAt : now;
    this.unavailableSince ??= Math.max(since, this.respondedAt);
  }

  /**
   * Returns the time since the end of the latest outage.
   *
   * @param now - monotonic time. Unit: ms
   * @returns age; 0 during an outage, infinite if there was none. Unit: ms
   */
  timeSinceOutage(now = performance.now()): number {
    return this.isOutage(now) ? 0 : now - this.outageEndedAt;
  }

  private isOutage(now: number): boolean {
    return this.unavailableSince !== undefined && now - this.unavailableSince >= MIN_OUTAGE_MS;
  }
}
