/** Learns how long the online requests of each client account hold a slot, compared with those of all accounts. */
import { DecayingMean } from './DecayingMean.js';

/** Half-life of the means. Unit: ms. */
const HALF_LIFE_MS = 10_000;

/** Weight of the mean of all accounts against the requests of one. Unit: requests. */
const PRIOR_WEIGHT = 1;

/** Limits of an account's mean work, as a ratio of the mean of all requests. */
const RELATIVE_WORK = { min: 0.25, max: 4 } as const;

/** Mean work of the requests of each account, from the requests of this host. */
export class AccountWork {
  private readonly meansByAccount = new Map<string, DecayingMean>();

  private readonly mean = new DecayingMean(HALF_LIFE_MS);

  /**
   * Records a request that has left its target.
   *
   * @param account - name of the account
   * @param holdMs - time for which it held a slot. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  record(account: string, holdMs: number, now: number): void {
    const mean = this.meansByAccount.get(account) ?? new DecayingMean(HALF_LIFE_MS);
    this.meansByAccount.set(account, mean);
    mean.add(holdMs, 1, now);
    this.mean.add(holdMs, 1, now);
  }

  /**
   * Returns the mean work of a request of an account.
   *
   * @param account - name of the account
   * @param now - monotonic time. Unit: ms
   * @returns multiple of the mean of all requests; 1 for an account without requests
   */
  relativeWork(account: string, now: number): number {
    const all = this.mean.getObserved(now);
    const own = this.meansByAccount.get(account);
    if (!all || !own) return 1;
    const relative = own.get(all, PRIOR_WEIGHT, now) / all;
    return Math.min(RELATIVE_WORK.max, Math.max(RELATIVE_WORK.min, relative));
  }

  /**
   * Keeps only the accounts of the configuration.
   *
   * @param names - names of all accounts
   */
  retain(names: ReadonlySet<string>): void {
    [...this.meansByAccount.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.meansByAccount.delete(name));
  }
}
