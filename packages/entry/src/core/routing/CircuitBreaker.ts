/** Circuit breaker for an agent that cannot be reached. */

/** Time for which no requests are sent to a failed agent. Unit: ms. */
const OPEN_DURATION_MS = 1000;

/** Timeout of a probe; the next probe may then be sent even if this one has no outcome. Unit: ms. */
const PROBE_TIMEOUT_MS = 5000;

/** Circuit breaker of one agent. It opens after a failed connection and then allows one probe at a time. */
export class CircuitBreaker {
  private retryAt: number | undefined;

  private probeUntil = 0;

  /**
   * Checks whether a request may be sent.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether the circuit is closed or due for a probe
   */
  allowsRequest(now: number): boolean {
    if (this.retryAt === undefined) return true;
    return now >= this.retryAt && now >= this.probeUntil;
  }

  /**
   * Records that a request is sent. While the circuit is open, the request is the probe.
   *
   * @param now - monotonic time. Unit: ms
   */
  recordSend(now: number): void {
    if (this.retryAt !== undefined) this.probeUntil = now + PROBE_TIMEOUT_MS;
  }

  /**
   * Records that the agent responded.
   *
   * @returns whether the circuit was open before
   */
  recordSuccess(): boolean {
    const wasOpen = this.retryAt !== undefined;
    this.retryAt = undefined;
    this.probeUntil = 0;
    return wasOpen;
  }

  /**
   * Records that the agent could not be reached.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether the circuit was closed before
   */
  recordFailure(now: number): boolean {
    const wasClosed = this.retryAt === undefined;
    this.retryAt = now + OPEN_DURATION_MS;
    this.probeUntil = 0;
    return wasClosed;
  }
}
