/** The arrival rate of one client account at this process. */

/** Time constant of the average. Unit: ms. */
const TIME_CONSTANT_MS = 3000;

/** Averages arrivals. */
export interface ArrivalRate {
  /** Notes one request. */
  recordArrival(): void;

  /**
   * Gives the average.
   *
   * @returns requests a second; recent ones count more
   */
  getRate(): number;

  /**
   * Tells when the last request came.
   *
   * @returns monotonic time; `-Infinity` before the first. Unit: ms
   */
  lastArrivalAt(): number;
}

/**
 * Starts to average.
 *
 * @param now - monotonic time. Unit: ms
 * @returns the average
 */
export const createArrivalRate = (now: () => number): ArrivalRate => {
  let rate = 0;
  let at = now();
  let lastAt = -Infinity;
  const decay = (): void => {
    const time = now();
    rate *= Math.exp((at - time) / TIME_CONSTANT_MS);
    at = time;
  };
  return {
    recordArrival() {
      decay();
      rate += 1000 / TIME_CONSTANT_MS;
      lastAt = at;
    },
    getRate() {
      decay();
      return rate;
    },
    lastArrivalAt: () => lastAt,
  };
};
