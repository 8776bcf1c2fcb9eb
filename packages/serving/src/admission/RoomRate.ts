/** Predicts how often slots become free for the requests of this host. */

/** Weight of the latest request in the mean time for which a request holds a slot. */
const SAMPLE_WEIGHT = 0.1;

/**
 * Rate at which slots become free for this host. While targets are full, each host gets about as many slots as its own
 * requests free. The rate follows from the requests that are running, as past rates are too low when a peak begins.
 */
export class RoomRate {
  private running = 0;

  /** Unit: ms. */
  private meanHeldMs: number | undefined;

  /** Counts a request that gets a slot. */
  begin(): void {
    this.running += 1;
  }

  /**
   * Counts the end of a request.
   *
   * @param heldMs - time for which it held its slot. Unit: ms
   */
  end(heldMs: number): void {
    this.running -= 1;
    this.meanHeldMs =
      this.meanHeldMs === undefined
        ? heldMs
        : this.meanHeldMs + (heldMs - this.meanHeldMs) * SAMPLE_WEIGHT;
  }

  /**
   * Predicts the time between two free slots.
   *
   * @returns time between two slots; undefined if no request is running or has ended, as after a start. Unit: ms
   */
  get intervalMs(): number | undefined {
    return this.running === 0 || this.meanHeldMs === undefined
      ? undefined
      : this.meanHeldMs / this.running;
  }
}
