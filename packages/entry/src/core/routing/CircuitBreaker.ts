/** Keeps requests away from an agent that cannot be reached. */

/** Time for which a failed agent gets nothing. Unit: ms. */
const OPEN_DURATION_MS = 1000;

/** Time after which a probe without an outcome no longer holds up the next one. Unit: ms. */
const PROBE_TIMEOUT_MS = 5000;

/** Circuit of one agent: closed, open after a failed connection, then one probe at a time. */
export class CircuitBreaker {
  private retryAt: number | undefined;

  private probeUntil = 0;

  /**
   * Tells whether a request may be sent.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether the circuit is closed or due for a probe
   */
  allowsRequest(now: number): boolean {
    if (this.retryAt === undefined) return true;
    return now >= this.retryAt && now >= this.probeUntil;
  }

  /**
   * Notes that a request is sent; while the circuit is open it is the probe.
   *
   * @param now - monotonic time. Unit: ms
   */
  recordSend(now: number): void {
    if (this.retryAt !== undefined) this.probeUntil = now + PROBE_TIMEOUT_MS;
  }

  /**
   * Notes that the agent answered.
   *
   * @returns whether the circuit was open
   */
  recordSuccess(): boolean {
    const wasOpen = this.retryAt !== undefined;
    this.retryAt = undefined;
    this.probeUntil = 0;
    return wasOpen;
  }

  /**
   * Notes that the agent could not be reached.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether the circuit was closed
   */
  recordFailure(now: number): boolean {
    const wasClosed = this.retryAt === undefined;
    this.retryAt = now + OPEN_DURATION_MS;
    this.probeUntil = 0;
    return wasClosed;
  }
}
