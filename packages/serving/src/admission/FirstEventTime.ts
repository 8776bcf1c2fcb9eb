/** Learns how long a target takes until it begins a response, to decide how long a request may wait before that. */

/** Weight of the latest response. */
const SAMPLE_WEIGHT = 0.05;

/** Maximum of the estimate: targets that queue requests answer later than the ones with free slots. Unit: ms. */
const MAX_MS = 150;

/** Estimate before the first response. Unit: ms. */
const INITIAL_MS = 75;

/** Mean time from the start of an attempt to the first part of its response. */
export class FirstEventTime {
  /** Unit: ms. */
  value = INITIAL_MS;

  /**
   * Adds a response.
   *
   * @param ms - time to its first part. Unit: ms
   */
  record(ms: number): void {
    this.value += (Math.min(ms, MAX_MS) - this.value) * SAMPLE_WEIGHT;
  }
}
