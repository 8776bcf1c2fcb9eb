/** Tells refused callers when to return, one after the other, so that a peak of refusals is not followed by one of retries. */

/** Part of the free slots that is left to returning callers; new requests take the rest. */
const ROOM_FOR_RETURNS = 0.5;

/** Limits of the delay. Callers return on a new connection, and wait a few seconds in all. Unit: ms. */
const DELAY_MS = { min: 100, max: 1500 } as const;

/** Limits of a delay that is drawn at random because the room cannot be predicted. Unit: ms. */
const RANDOM_DELAY_MS = { min: 300, max: 1100 } as const;

/** Part of the time that a caller has left, after which it returns at the latest. */
const MAX_PART_OF_REMAINING_TIME = 0.5;

/** What is known of the room that a refused caller would need. */
export interface PredictedRoom {
  /** Wait of a request that is added to the queue. Unit: ms. */
  readonly waitMs: number;
  /** Time between two free slots. Unit: ms. */
  readonly intervalMs: number;
}

/** Schedules the returns of refused callers. */
export class ReturnSchedule {
  /** Monotonic time at which the last of the refused callers returns. Unit: ms. */
  private lastReturnAt = Number.NEGATIVE_INFINITY;

  /**
   * Creates a schedule.
   *
   * @param random - returns a random number in [0, 1)
   */
  constructor(private readonly random: () => number) {}

  /**
   * Chooses the time at which a refused caller returns.
   *
   * @param room - predicted room; undefined if it is not known
   * @param callerDeadline - monotonic time until which the caller waits. Unit: ms
   * @param now - monotonic time. Unit: ms
   * @returns time until the return. Unit: ms
   */
  next(room: PredictedRoom | undefined, callerDeadline: number, now: number): number {
    const latestMs = Math.min(DELAY_MS.max, (callerDeadline - now) * MAX_PART_OF_REMAINING_TIME);
    const delayMs = room ? this.takeTurn(room, now) : this.draw(RANDOM_DELAY_MS);
    // Callers beyond the last turn are spread, because a turn that all of them share would be a peak of its own.
    const boundedMs =
      delayMs <= latestMs ? delayMs : this.draw({ min: latestMs / 2, max: latestMs });
    return Math.max(DELAY_MS.min, boundedMs);
  }

  private takeTurn({ waitMs, intervalMs }: PredictedRoom, now: number): number {
    const turnAt = Math.max(now + waitMs, this.lastReturnAt + intervalMs / ROOM_FOR_RETURNS);
    if (turnAt - now <= DELAY_MS.max) this.lastReturnAt = turnAt;
    return turnAt - now;
  }

  private draw({ min, max }: { readonly min: number; readonly max: number }): number {
    return min + this.random() * (max - min);
  }
}
