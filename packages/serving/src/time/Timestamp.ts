/** Ages that stay right over suspensions of the machine and steps of the wall clock. */

/** A point in time on both clocks of the process. */
export interface Timestamp {
  /** `performance.now()`; stands still while the machine is suspended. Unit: ms. */
  readonly monotonic: number;
  /** `Date.now()`; goes on during a suspension, and may be stepped. Unit: ms since 1970. */
  readonly wall: number;
}

/**
 * Reads both clocks.
 *
 * @returns the present moment
 */
export const readTimestamp = (): Timestamp => ({ monotonic: performance.now(), wall: Date.now() });

/**
 * Tells how long ago a moment was, never too little: the larger of what the two clocks say.
 *
 * @param moment - an earlier moment; absent counts as infinitely long ago
 * @param now - the present moment
 * @returns age. Unit: ms
 */
export const ageOf = (moment: Timestamp | undefined, now: Timestamp = readTimestamp()): number =>
  moment
    ? Math.max(now.monotonic - moment.monotonic, now.wall - moment.wall)
    : Number.POSITIVE_INFINITY;
