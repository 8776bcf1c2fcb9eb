/** Estimates the clock of another machine from the times in its responses. */

/**
 * Rate at which the offset of an old estimate is lowered, so that a new one can replace it. The clocks of two machines
 * drift apart more slowly than this. Unit: ms of the estimate for each ms.
 */
const MAX_CLOCK_DRIFT = 0.0002;

/** Estimates a steady remote clock over connections with varying delay. */
export class RemoteClock {
  private estimate: { readonly offset: number; readonly at: number } | undefined;

  /**
   * Updates the estimate with a time that the other machine has sent.
   *
   * @param remote - time of its clock when it responded. Unit: ms
   * @param now - monotonic time of the response's arrival. Unit: ms
   */
  synchronize(remote: number, now = performance.now()): void {
    const offset = remote - now;
    // Delays can only make the offset too small, so the largest one is the most accurate.
    const previous =
      this.estimate && this.estimate.offset - MAX_CLOCK_DRIFT * (now - this.estimate.at);
    if (previous === undefined || offset > previous) this.estimate = { offset, at: now };
  }

  /**
   * Returns the time of the remote clock.
   *
   * @param now - monotonic time. Unit: ms
   * @returns remote time, late by one network delay at most; undefined before the first response. Unit: ms
   */
  now(now = performance.now()): number | undefined {
    return this.estimate && now + this.estimate.offset;
  }
}
