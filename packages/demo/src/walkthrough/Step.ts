/** One step of the demonstration. */
import type { Fleet } from '../launch/Fleet.js';

/** One step of the demonstration. */
export interface Step {
  readonly title: string;
  /**
   * Runs the step and checks what it shows.
   *
   * @param fleet - a running fleet
   * @returns one line for people; rejects when the step did not show what it should
   */
  run(fleet: Fleet): Promise<string>;
}

/**
 * Picks the entry host and a granted key for a step.
 *
 * @param fleet - a running fleet
 * @param entry - index of the entry host
 * @param account - index of the client account
 * @returns base URL and key
 */
export const getCaller = (fleet: Fleet, entry: number, account: number) => {
  const url = fleet.entries[entry]?.url;
  const key = fleet.keys.get(fleet.deployment.accounts[account] ?? '');
  if (url === undefined || key === undefined) throw new Error('no such entry host or account');
  return { url, key };
};
