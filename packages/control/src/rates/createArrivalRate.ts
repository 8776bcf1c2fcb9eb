/** Measures the arrival rate of one client account at this process. */

/** Time constant of the exponential moving average. Unit: ms. */
const TIME_CONSTANT_MS = 3000;

/** Exponential moving average of the arrival rate. */
export interface ArrivalRate {
  /** Counts one request. */
  recordArrival(): void;

  /**
   * Returns the average.
   *
   * @returns requests a second; recent requests weigh more
   */
  getRate(): number;

  /**
   * Returns the time of the last request.
   *
   * @returns monotonic time; `-Infinity` before the first. Unit: ms
   */
  lastArrivalAt(): number;
}

/**
 * Creates an average of zero.
 *
 * @param now - returns the monotonic time. Unit: ms
 * @returns the average
 */
export const createArrivalRate = (now: () => number): ArrivalRate => {
  let rate = 0;
  let decayedAt = now();
  let lastAt = -Infinity;
  const decay = (): void => {
    const time = now();
    rate *= Math.exp((decayedAt - time) / TIME_CONSTANT_MS);
    decayedAt = time;
  };
  return {
    recordArrival() {
      decay();
      rate += 1000 / TIME_CONSTANT_MS;
      lastAt = decayedAt;
    },
    getRate() {
      decay();
      return rate;
    },
    lastArrivalAt: () => lastAt,
  };
};
