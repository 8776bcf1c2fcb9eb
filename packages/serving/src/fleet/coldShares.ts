/** Divides the requests that a cold target tolerates among a few hosts, which agree on their shares without messages. */
import { getRank } from './rendezvousHash.js';

/** Maximum number of hosts that send to one cold target. */
const MAX_OWNERS = 8;

/**
 * Part of the tolerated rate that hosts with the same list of members use together. Two groups of hosts with different
 * lists stay within the rate, too.
 */
const USED_RATE_RATIO = 0.5;

/** Minimum time over which requests are counted. Unit: ms. */
const MIN_WINDOW_MS = 1000;

/** Limit for the requests of one host to a cold target. */
export interface ColdShare {
  /** Maximum number of requests within any window. */
  readonly requests: number;
  /** Length of the window. Unit: ms. */
  readonly windowMs: number;
}

/**
 * Finds the share of a host in the requests to a cold target.
 *
 * @param target - identity of the target
 * @param host - name of the host
 * @param hosts - names of all hosts, including this one
 * @param rate - requests per second that the target tolerates
 * @returns the share; undefined if the host must not send to the target
 */
export const findColdShare = (
  target: string,
  host: string,
  hosts: readonly string[],
  rate: number,
): ColdShare | undefined => {
  const usedRate = rate * USED_RATE_RATIO;
  const owners = Math.max(1, Math.min(MAX_OWNERS, hosts.length, Math.floor(usedRate)));
  if (usedRate <= 0 || getRank(target, host, hosts) >= owners) return undefined;
  const requests = Math.max(1, Math.floor(usedRate / owners));
  return {
    requests,
    windowMs: Math.max(MIN_WINDOW_MS, ((requests * owners) / usedRate) * 1000),
  };
};
