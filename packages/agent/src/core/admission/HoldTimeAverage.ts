/** How long online requests hold their place in the target, to estimate waits. */

/** Part that the latest request has in the mean. */
const SMOOTHING_FACTOR = 0.1;

/** Moving mean of the time that online requests are in the target. */
export class HoldTimeAverage {
  private averageMs: number | undefined;

  /**
   * Takes a finished request into the mean.
   *
   * @param heldMs - time from admission to release. Unit: ms
   */
  add(heldMs: number): void {
    this.averageMs =
      this.averageMs === undefined
        ? heldMs
        : this.averageMs + (heldMs - this.averageMs) * SMOOTHING_FACTOR;
  }

  /**
   * Estimates how long it takes until some places were released.
   *
   * @param releases - number of places
   * @param concurrency - places in use at once
   * @returns expected time; 0 while no request has finished. Unit: ms
   */
  estimateWaitMs(releases: number, concurrency: number): number {
    return (Math.max(0, releases) * (this.averageMs ?? 0)) / concurrency;
  }
}
