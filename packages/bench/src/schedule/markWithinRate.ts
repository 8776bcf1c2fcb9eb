/** Finds the requests that an ideal fleet-wide token bucket admits. */
import type { ScheduledRequest } from './planRequests.js';

/** Rate and burst of an account. */
export interface RateLimit {
  /** Unit: requests/s. */
  readonly rate: number;
  readonly burst: number;
}

const MS_PER_SECOND = 1000;

/**
 * Checks for each request whether it is within the rate and burst of its account.
 *
 * @param requests - requests, ordered by scheduled time
 * @param getLimit - returns the limit of an account
 * @returns one value per request, true when it is within the rate
 */
export const markWithinRate = (
  requests: readonly ScheduledRequest[],
  getLimit: (account: string) => RateLimit,
): boolean[] => {
  const buckets = new Map<string, { tokens: number; atMs: number }>();
  return requests.map(({ account, atMs }) => {
    const { rate, burst } = getLimit(account);
    const last = buckets.get(account) ?? { tokens: burst, atMs };
    const refilled = last.tokens + ((atMs - last.atMs) / MS_PER_SECOND) * rate;
    const tokens = Math.min(burst, refilled);
    const isWithin = tokens >= 1;
    buckets.set(account, { tokens: isWithin ? tokens - 1 : tokens, atMs });
    return isWithin;
  });
};
