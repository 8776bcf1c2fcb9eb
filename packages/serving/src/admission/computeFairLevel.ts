/** Computes max-min fair shares of client accounts. */

/** Recent use of the fleet by one account. */
export interface AccountUse {
  /** Work of its requests, in any unit that is the same for all accounts. */
  readonly work: number;
  /** Weight of its share: the request rate that the account may use. */
  readonly weight: number;
}

/**
 * Factor by which accounts below the fair level may grow. The use that is known is what was admitted; while room is short
 * they ask for more than that.
 */
const GROWTH = 1.25;

/**
 * Computes the work per weight at which the accounts that are cut to it leave all others what these ask for. Load answered:
 * a few accounts take the room of many at a peak, while none of them exceeds its rate.
 *
 * @param uses - accounts with recent use
 * @returns work per weight; infinite without use
 */
export const computeFairLevel = (uses: readonly AccountUse[]): number => {
  const active = uses.filter(({ work, weight }) => work > 0 && weight > 0);
  active.sort((a, b) => a.work / a.weight - b.work / b.weight);
  let room = active.reduce((sum, { work }) => sum + work, 0);
  let weight = active.reduce((sum, use) => sum + use.weight, 0);
  const firstCut = active.find((use) => {
    if (use.work * GROWTH > (room / weight) * use.weight) return true;
    room -= use.work * GROWTH;
    weight -= use.weight;
    return false;
  });
  return firstCut ? room / weight : Number.POSITIVE_INFINITY;
};
