/** Calculates ages that are not too small after a suspension of the machine or a step of the wall clock. */

/** A point in time on both clocks of the process. */
export interface Timestamp {
  /** `performance.now()`, which stops while the machine is suspended. Unit: ms. */
  readonly monotonic: number;
  /** `Date.now()`, which continues during a suspension but may be stepped. Unit: ms since 1970. */
  readonly wall: number;
}

/**
 * Reads both clocks.
 *
 * @returns the current time
 */
export const readTimestamp = (): Timestamp => ({ monotonic: performance.now(), wall: Date.now() });

/**
 * Returns the time since a timestamp. The larger value of the two clocks counts, so the age is not too small if one of
 * them was stopped or set back.
 *
 * @param timestamp - an earlier timestamp; the age is infinite without one
 * @param now - the current time
 * @returns age. Unit: ms
 */
export const ageOf = (
  timestamp: Timestamp | undefined,
  now: Timestamp = readTimestamp(),
): number =>
  timestamp
    ? Math.max(now.monotonic - timestamp.monotonic, now.wall - timestamp.wall)
    : Number.POSITIVE_INFINITY;
