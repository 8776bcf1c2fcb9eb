/** Weighted max-min fairness. */

/** Demand and weight of an account. */
export interface AccountDemand {
  readonly account: string;
  readonly weight: number;
  /** Output tokens of the requests within the account's rate. */
  readonly demand: number;
}

/**
 * Computes the due share of each account: the capacity is divided by weight, and what exceeds the
 * demand of an account is divided among the others by weight.
 *
 * @param accounts - the accounts
 * @param capacity - total number of tokens served
 * @returns due tokens by account
 */
export const computeDueShares = (
  accounts: readonly AccountDemand[],
  capacity: number,
): Map<string, number> => {
  const due = new Map<string, number>();
  let rest = capacity;
  let restWeight = accounts.reduce((sum, { weight }) => sum + weight, 0);
  const byRelativeDemand = [...accounts].sort(
    (left, right) => left.demand / left.weight - right.demand / right.weight,
  );
  byRelativeDemand.forEach(({ account, weight, demand }) => {
    const share = Math.min(demand, (rest * weight) / restWeight);
    due.set(account, share);
    rest -= share;
    restWeight -= weight;
  });
  return due;
};
