/** Weighted max-min fairness. */

/** What an account asked for and its weight. */
export interface AccountDemand {
  readonly account: string;
  readonly weight: number;
  /** Tokens asked for within the account's rate. */
  readonly demand: number;
}

/**
 * Computes the due share of each account: capacity is divided by weight, and what an account does
 * not ask for goes to the others by weight.
 *
 * @param claimants - the accounts
 * @param capacity - tokens that were served in total
 * @returns due tokens by account
 */
export const computeDueShares = (
  claimants: readonly AccountDemand[],
  capacity: number,
): Map<string, number> => {
  const due = new Map<string, number>();
  let rest = capacity;
  let restWeight = claimants.reduce((sum, { weight }) => sum + weight, 0);
  const bySatisfaction = [...claimants].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  bySatisfaction.forEach(({ account, weight, demand }) => {
    const share = Math.min(demand, (rest * weight) / restWeight);
    due.set(account, share);
    rest -= share;
    restWeight -= weight;
  });
  return due;
};
