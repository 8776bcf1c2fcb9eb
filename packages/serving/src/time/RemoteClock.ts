/** The clock of another machine, as this process learns it from that machine's answers. */

/**
 * How fast an estimate is given up for a lower one: crystals of two machines differ by less. Unit: ms of
 * the estimate for each ms.
 */
const MAX_CLOCK_DRIFT = 0.0002;

/** Follows a steady clock over connections of changing delay. */
export class RemoteClock {
  private estimate: { readonly offset: number; readonly at: number } | undefined;

  /**
   * Takes a time that the other machine has sent.
   *
   * @param remote - time of its clock when it answered. Unit: ms
   * @param now - monotonic time of the arrival. Unit: ms
   */
  synchronize(remote: number, now = performance.now()): void {
    const offset = remote - now;
    // Delays make the offset too small, never too large, so the largest one is the best.
    const kept = this.estimate && this.estimate.offset - MAX_CLOCK_DRIFT * (now - this.estimate.at);
    if (kept === undefined || offset > kept) this.estimate = { offset, at: now };
  }

  /**
   * Tells the time of the other clock.
   *
   * @param now - monotonic time. Unit: ms
   * @returns its time, at most one delay behind; nothing before the first answer. Unit: ms
   */
  now(now = performance.now()): number | undefined {
    return this.estimate && now + this.estimate.offset;
  }
}
