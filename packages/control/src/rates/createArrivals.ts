/** The arrival rate of one client account at this process. */

/** Time constant of the average. Unit: ms. */
const AVERAGE_MS = 3000;

/** Averages arrivals. */
export interface Arrivals {
  /** Notes one request. */
  note(): void;

  /**
   * Gives the average.
   *
   * @returns requests a second; recent ones count more
   */
  rate(): number;

  /**
   * Tells when the last request came.
   *
   * @returns monotonic time; `-Infinity` before the first. Unit: ms
   */
  lastAt(): number;
}

/**
 * Starts to average.
 *
 * @param now - monotonic time. Unit: ms
 * @returns the average
 */
export const createArrivals = (now: () => number): Arrivals => {
  let rate = 0;
  let at = now();
  let lastAt = -Infinity;
  const decay = (): void => {
    const time = now();
    rate *= Math.exp((at - time) / AVERAGE_MS);
    at = time;
  };
  return {
    note() {
      decay();
      rate += 1000 / AVERAGE_MS;
      lastAt = at;
    },
    rate() {
      decay();
      return rate;
    },
    lastAt: () => lastAt,
  };
};
