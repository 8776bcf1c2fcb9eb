/** How long online requests hold their slot, to estimate waits. */

/** Weight of the latest request in the average. */
const SMOOTHING_FACTOR = 0.1;

/** Exponential moving average of the time that online requests hold their slot. */
export class HoldTimeAverage {
  private mean: number | undefined;

  /**
   * Adds a finished request to the average.
   *
   * @param heldMs - time from admission to release. Unit: ms
   */
  add(heldMs: number): void {
    this.mean =
      this.mean === undefined ? heldMs : this.mean + (heldMs - this.mean) * SMOOTHING_FACTOR;
  }

  /**
   * Estimates the time until a number of slots have been released.
   *
   * @param releases - number of slots
   * @param concurrency - slots in use at once
   * @returns expected time; 0 while no request has finished. Unit: ms
   */
  estimateWaitMs(releases: number, concurrency: number): number {
    return (Math.max(0, releases) * (this.mean ?? 0)) / concurrency;
  }
}
