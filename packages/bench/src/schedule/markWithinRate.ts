/** Which requests an ideal token bucket for the whole fleet would let pass. */
import type { ScheduledRequest } from './planRequests.js';

/** Rate and burst of an account. */
export interface RateLimit {
  /** Unit: requests/s. */
  readonly rate: number;
  readonly burst: number;
}

const MS_PER_SECOND = 1000;

/**
 * Finds the requests that are within the rate and burst of their account, by intended time.
 *
 * @param sends - requests by intended time
 * @param limitOf - limits of an account
 * @returns for each request, whether it is within its account's rate
 */
export const markWithinRate = (
  sends: readonly ScheduledRequest[],
  limitOf: (account: string) => RateLimit,
): boolean[] => {
  const buckets = new Map<string, { tokens: number; atMs: number }>();
  return sends.map(({ account, atMs }) => {
    const { rate, burst } = limitOf(account);
    const last = buckets.get(account) ?? { tokens: burst, atMs };
    const refilled = last.tokens + ((atMs - last.atMs) / MS_PER_SECOND) * rate;
    const tokens = Math.min(burst, refilled);
    const isWithin = tokens >= 1;
    buckets.set(account, { tokens: isWithin ? tokens - 1 : tokens, atMs });
    return isWithin;
  });
};
