/** Tracks which client accounts use more than their fair share of the fleet. */
import type { Account } from '../configuration/ServingConfiguration.js';
import type { AccountWork } from '../placement/AccountWork.js';
import { computeFairLevel } from './computeFairLevel.js';

/** Time in which a recorded request loses all but a third of its weight. Unit: ms. */
const DECAY_MS = 1500;

/** Use below which an account is within its share, whatever the others use. Unit: requests of mean work. */
const MIN_SHARE = 2;

/** Tolerated ratio of use to share; covers requests that were recorded late. */
const TOLERANCE = 1.15;

/** How long computed ratios are used. Unit: ms. */
const RATIOS_LIFETIME_MS = 50;

/** Decides which accounts are above their fair share while room is short. */
export interface ShareTable {
  /**
   * Applies the accounts of a new configuration.
   *
   * @param accounts - all accounts
   */
  configure(accounts: readonly Account[]): void;

  /**
   * Records requests that any host has admitted.
   *
   * @param account - name of the account
   * @param requests - number of requests; negative if they did not run
   * @param now - monotonic time. Unit: ms
   */
  recordUse(account: string, requests: number, now: number): void;

  /**
   * Compares the use of an account with its fair share.
   *
   * @param account - the account; undefined on open routes
   * @param now - monotonic time. Unit: ms
   * @returns ratio of use to share; 1 if the account is within its share
   */
  getRatio(account: Account | undefined, now: number): number;
}

interface Usage {
  /** Decaying number of requests. */
  requests: number;
  /** Monotonic time of the last decay. Unit: ms. */
  decayedAt: number;
}

/**
 * Fair shares by recent use. An account's share is in proportion to its rate limit, and what some accounts leave unused is
 * divided among the others. Accounts without a rate limit have no share to exceed.
 */
export class AccountShares implements ShareTable {
  private readonly usages = new Map<string, Usage>();

  private weights: ReadonlyMap<string, number> = new Map();

  /** Ratios of use to share of the accounts above their shares. */
  private ratios: ReadonlyMap<string, number> = new Map();

  private ratiosExpireAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly work: Pick<AccountWork, 'relativeWork'>) {}

  configure(accounts: readonly Account[]): void {
    this.weights = new Map(accounts.map(({ name, rate }) => [name, rate]));
    [...this.usages.keys()]
      .filter((name) => !this.weights.has(name))
      .forEach((name) => this.usages.delete(name));
    this.ratiosExpireAt = Number.NEGATIVE_INFINITY;
  }

  recordUse(account: string, requests: number, now: number): void {
    const usage = this.decay(account, now);
    usage.requests = Math.max(0, usage.requests + requests);
  }

  getRatio(account: Account | undefined, now: number): number {
    if (!account) return 1;
    if (now >= this.ratiosExpireAt) this.computeRatios(now);
    return this.ratios.get(account.name) ?? 1;
  }

  /** Computes the ratios of all accounts above their shares from the uses at one moment. */
  private computeRatios(now: number): void {
    const uses = [...this.weights].map(([name, weight]) => ({
      name,
      weight,
      work: this.getWork(name, now),
    }));
    const level = computeFairLevel(uses);
    const above = uses
      .filter(({ work, weight }) => weight > 0 && work > MIN_SHARE)
      .map(({ name, work, weight }) => [name, work / (level * weight)] as const)
      .filter(([, ratio]) => ratio > TOLERANCE);
    this.ratios = new Map(above);
    this.ratiosExpireAt = now + RATIOS_LIFETIME_MS;
  }

  /** Returns the recent work of an account. Unit: requests of mean work. */
  private getWork(account: string, now: number): number {
    if (!this.usages.has(account)) return 0;
    return this.decay(account, now).requests * this.work.relativeWork(account, now);
  }

  private decay(account: string, now: number): Usage {
    const usage = this.usages.get(account) ?? {
      requests: 0,
      decayedAt: now,
    };
    this.usages.set(account, usage);
    usage.requests *= Math.exp(Math.min(0, usage.decayedAt - now) / DECAY_MS);
    usage.decayedAt = Math.max(usage.decayedAt, now);
    return usage;
  }
}

/** Shares for a deployment that serves accounts in order of arrival. */
export const equalStanding: ShareTable = {
  configure: () => undefined,
  recordUse: () => undefined,
  getRatio: () => 1,
};
