/** How long online requests hold their place in the target, to estimate waits. */

/** Part that the latest request has in the mean. */
const LATEST_PART = 0.1;

/** Moving mean of the time that online requests are in the target. */
export class HoldTimes {
  private mean: number | undefined;

  /**
   * Takes a finished request into the mean.
   *
   * @param heldMs - time from admission to release. Unit: ms
   */
  add(heldMs: number): void {
    this.mean = this.mean === undefined ? heldMs : this.mean + (heldMs - this.mean) * LATEST_PART;
  }

  /**
   * Estimates how long it takes until some places were released.
   *
   * @param releases - number of places
   * @param concurrency - places in use at once
   * @returns expected time; 0 while no request has finished. Unit: ms
   */
  untilReleases(releases: number, concurrency: number): number {
    return (Math.max(0, releases) * (this.mean ?? 0)) / concurrency;
  }
}
