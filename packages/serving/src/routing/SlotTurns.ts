/**
 * Passes the free slots of a target on to the next hosts in order while the first ones leave them free. Load reports state that a
 * host has waiting items, but not for which services, so that the first hosts may have none for the target.
 */

/** Load of one target as this host knows it. */
export interface SlotUse {
  /** Identity of the target. */
  readonly target: string;
  /** Slots that are neither in use nor reserved. */
  readonly free: number;
  /** Running batch items of other hosts. */
  readonly othersBatch: number;
}

/** Slots that have stayed free since other hosts last took one. */
interface Vacancy {
  /** Monotonic time. Unit: ms. */
  readonly since: number;
  /** Monotonic time. Unit: ms. */
  readonly observedAt: number;
  readonly othersBatch: number;
}

/** Number of turns after which a vacancy that wasn't observed says nothing any more. */
const MAX_UNOBSERVED_TURNS = 2;

/** Counts the turns that other hosts have left unused. */
export class SlotTurns {
  private readonly vacancies = new Map<string, Vacancy>();

  /**
   * Counts the turns in which no other host has taken a slot of a target.
   *
   * @param use - load of the target
   * @param now - monotonic time. Unit: ms
   * @param turnMs - time until this host knows of a slot that another host takes. Unit: ms
   * @returns number of turns since this host began to look for a slot there
   */
  countUnused({ target, free, othersBatch }: SlotUse, now: number, turnMs: number): number {
    if (free <= 0) {
      this.vacancies.delete(target);
      return 0;
    }
    const known = this.vacancies.get(target);
    const hasLasted =
      known !== undefined &&
      othersBatch <= known.othersBatch &&
      now - known.observedAt <= MAX_UNOBSERVED_TURNS * turnMs;
    const since = hasLasted ? known.since : now;
    this.vacancies.set(target, { since, observedAt: now, othersBatch });
    return Math.floor((now - since) / turnMs);
  }
}
