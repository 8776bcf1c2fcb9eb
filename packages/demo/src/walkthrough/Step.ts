/** Steps of the demonstration. */
import type { Fleet } from '../launch/Fleet.js';

/** One step of the demonstration. */
export interface Step {
  readonly title: string;
  /**
   * Runs the step and checks its outcome.
   *
   * @param fleet - a running fleet
   * @returns one line that sums up the outcome; rejects if the outcome is not the expected one
   */
  run(fleet: Fleet): Promise<string>;
}

/**
 * Returns the URL of an entry host and the key of a client account.
 *
 * @param fleet - a running fleet
 * @param entry - index of the entry host
 * @param account - index of the client account
 * @returns base URL and granted key
 */
export const getCaller = (fleet: Fleet, entry: number, account: number) => {
  const url = fleet.entries[entry]?.url;
  const key = fleet.keys.get(fleet.deployment.accounts[account] ?? '');
  if (url === undefined || key === undefined)
    throw new Error('the fleet has no such entry host or client account');
  return { url, key };
};
