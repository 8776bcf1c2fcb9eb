/** Rates and bursts of all accounts over the whole fleet. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Account, ServingConfiguration } from '../configuration/ServingConfiguration.js';
import { FleetTokenBucket, type RateLimit } from './FleetTokenBucket.js';

/**
 * How much of the tolerated excess is used, so that a caller within its rate is not refused for
 * different clocks. The window tolerates a tenth and 20 requests; late reports need the rest.
 */
const TOLERANCE = { rate: 1.04, burst: 1.04, requests: 6 } as const;

/** Seconds of the window over which the excess is judged. */
const WINDOW_SECONDS = 5;

/**
 * Part of the window's limit with which a bucket starts when earlier use is unknown: the excess that
 * the window tolerates, so that a fleet that loses all its buckets at once stays within it.
 */
const INITIAL_LEVEL_RATIO = 0.08;

/**
 * How long a count is reported after its last change: several reports, so that losing some does no harm,
 * while accounts that send nothing cost no bytes. Unit: ms.
 */
const REPORT_DURATION_MS = 2000;

/** What is known of another host's use. */
interface PeerUsage {
  readonly incarnation: number;
  readonly admitted: Map<string, number>;
}

/** What the rates need to know of the fleet. */
export interface FleetState {
  /**
   * Tells which part of the rate this host and the hosts that it hears may use together.
   *
   * @returns heard members with this one, divided by all members
   */
  readonly share: () => number;
  /** Monotonic time at which this process started. Unit: ms. */
  readonly startedAt: number;
  /** Whether the whole system starts for the first time, so that nothing can have been used. */
  readonly isFirstStart: boolean;
}

const getEffectiveLimit = ({ rate, burst }: Account): RateLimit => ({
  rate: rate * TOLERANCE.rate,
  burst: burst * TOLERANCE.burst + TOLERANCE.requests,
});

/** Counts requests against the rates of accounts. */
export class AccountRateLimiter {
  private readonly buckets = new Map<string, FleetTokenBucket>();

  private readonly peers = new Map<string, PeerUsage>();

  constructor(private readonly fleet: FleetState) {}

  /**
   * Takes the limits of a new configuration.
   *
   * @param configuration - the version in force
   * @param now - monotonic time. Unit: ms
   */
  configure(configuration: ServingConfiguration, now = performance.now()): void {
    const limited = configuration.accounts.filter(({ rate }) => rate > 0);
    const names = new Set(limited.map(({ name }) => name));
    [...this.buckets.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.buckets.delete(name));
    limited.forEach((account) => {
      const limit = getEffectiveLimit(account);
      const bucket = this.buckets.get(account.name);
      if (bucket) bucket.setLimit(limit);
      else
        this.buckets.set(
          account.name,
          new FleetTokenBucket(limit, this.getInitialLevel(account), now),
        );
    });
  }

  /**
   * Counts a request.
   *
   * @param account - account of the caller
   * @param now - monotonic time. Unit: ms
   * @returns 0 when admitted, else the time until there is room. Unit: ms
   */
  take(account: Account, now = performance.now()): number {
    const bucket = this.buckets.get(account.name);
    return bucket ? bucket.take(this.fleet.share(), now) : 0;
  }

  /**
   * Gives back the count of a request that provably has not run.
   *
   * @param account - account of the caller
   * @param now - monotonic time. Unit: ms
   */
  refund(account: Account, now = performance.now()): void {
    this.buckets.get(account.name)?.refund(now);
  }

  /**
   * Debits what another host reports.
   *
   * @param report - its newest report
   * @param now - monotonic time. Unit: ms
   */
  applyReport(
    { host, incarnation, ageMs, upMs, rates }: LoadReport,
    now = performance.now(),
  ): void {
    const before = this.peers.get(host);
    const used = before?.incarnation === incarnation ? before.admitted : new Map<string, number>();
    this.peers.set(host, { incarnation, admitted: used });
    // What an older process admitted before this one started is not held against the new bucket.
    const isOlder = now - ageMs - upMs < this.fleet.startedAt;
    rates.forEach(([account, count]) => {
      const counted = used.get(account) ?? (isOlder ? count : 0);
      used.set(account, count);
      if (count !== counted) this.buckets.get(account)?.debit(count - counted);
    });
  }

  /**
   * Lists this host's recent use for a report.
   *
   * @param now - monotonic time. Unit: ms
   * @returns account and count of each account whose count changed lately
   */
  listOwnUsage(now = performance.now()): [string, number][] {
    return [...this.buckets.entries()]
      .filter(([, { admittedChangedAt: usedAt }]) => now - usedAt < REPORT_DURATION_MS)
      .map(([account, { admitted: used }]) => [account, used]);
  }

  /**
   * Tells whether other hosts must learn of the use of an account at once.
   *
   * @param account - account of the caller
   * @returns whether its bucket runs low
   */
  isLow(account: Account): boolean {
    return this.buckets.get(account.name)?.isLow ?? false;
  }

  private getInitialLevel({ rate, burst }: Account): number {
    if (this.fleet.isFirstStart) return Number.POSITIVE_INFINITY;
    return INITIAL_LEVEL_RATIO * (rate * WINDOW_SECONDS + burst);
  }
}
