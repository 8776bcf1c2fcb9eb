/** Limits the request rates of accounts across the fleet. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Account, ServingConfiguration } from '../configuration/ServingConfiguration.js';
import { FleetTokenBucket, type RateLimit } from './FleetTokenBucket.js';

/**
 * Margin added to the configured limit, so that clock differences do not lead to the refusal of a caller within its
 * rate. In a window of {@link WINDOW_SECONDS}, the requests admitted by the fleet may exceed the limit by a tenth and 20
 * requests. The margin is a part of this tolerance; the rest covers late reports.
 */
const TOLERANCE = { rate: 1.04, burst: 1.04, requests: 6 } as const;

/** Length of the window for which the tolerated excess is defined. Unit: s. */
const WINDOW_SECONDS = 5;

/**
 * Initial level of a bucket when earlier usage is unknown, as a ratio of the requests that the limit allows in a window.
 * It is taken from the tolerated excess, so a fleet that loses all its buckets at once stays within the tolerance.
 */
const INITIAL_LEVEL_RATIO = 0.08;

/**
 * How long a count is reported after its last change. This covers several reports, so some of them may be lost, while
 * idle accounts take no space in reports. Unit: ms.
 */
const REPORT_DURATION_MS = 2000;

/** Usage reported by another host. */
interface PeerUsage {
  readonly incarnation: number;
  /** Number of admitted requests, by account. */
  readonly admitted: Map<string, number>;
}

/** State of the fleet that the rate limits depend on. */
export interface FleetState {
  /**
   * Returns the share of the rate that this host and all responsive hosts may use together.
   *
   * @returns number of responsive hosts, including this host, divided by the number of all hosts
   */
  readonly share: () => number;
  /** Monotonic time at which this process started. Unit: ms. */
  readonly startedAt: number;
  /** Whether the fleet starts for the first time, so that there is no earlier usage. */
  readonly isFirstStart: boolean;
  /**
   * Called for the requests that this or another host has admitted.
   *
   * @param account - name of the account
   * @param requests - number of requests; negative if they did not run
   * @param now - monotonic time. Unit: ms
   */
  readonly onUse?: (account: string, requests: number, now: number) => void;
}

const getEffectiveLimit = ({ rate, burst }: Account): RateLimit => ({
  rate: rate * TOLERANCE.rate,
  burst: burst * TOLERANCE.burst + TOLERANCE.requests,
});

/** Admits requests within the rate limits of their accounts. */
export class AccountRateLimiter {
  private readonly buckets = new Map<string, FleetTokenBucket>();

  private readonly peers = new Map<string, PeerUsage>();

  constructor(private readonly fleet: FleetState) {}

  /**
   * Applies the limits of a new configuration.
   *
   * @param configuration - current version
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
   * Takes a token for a request.
   *
   * @param account - account of the caller
   * @param now - monotonic time. Unit: ms
   * @returns 0 if admitted, else the time until a token is available. Unit: ms
   */
  take(account: Account, now = performance.now()): number {
    const bucket = this.buckets.get(account.name);
    if (!bucket) return 0;
    const waitMs = bucket.take(this.fleet.share(), now);
    if (waitMs === 0) this.fleet.onUse?.(account.name, 1, now);
    return waitMs;
  }

  /**
   * Predicts whether a request would be admitted, without taking a token.
   *
   * @param account - account of the caller
   * @param now - monotonic time. Unit: ms
   * @returns 0 if it would be admitted, else the time until a token is available. Unit: ms
   */
  predictWait(account: Account, now = performance.now()): number {
    return this.buckets.get(account.name)?.predictWait(this.fleet.share(), now) ?? 0;
  }

  /**
   * Refunds the token of a request that provably has not run.
   *
   * @param account - account of the caller
   * @param now - monotonic time. Unit: ms
   */
  refund(account: Account, now = performance.now()): void {
    const bucket = this.buckets.get(account.name);
    if (!bucket) return;
    bucket.refund(now);
    this.fleet.onUse?.(account.name, -1, now);
  }

  /**
   * Debits the requests admitted by another host.
   *
   * @param report - latest report of that host
   * @param now - monotonic time. Unit: ms
   */
  applyReport(
    { host, incarnation, ageMs, upMs, rates }: LoadReport,
    now = performance.now(),
  ): void {
    const before = this.peers.get(host);
    const admitted =
      before?.incarnation === incarnation ? before.admitted : new Map<string, number>();
    this.peers.set(host, { incarnation, admitted });
    // The first count that an older process reports for an account is not debited, as it may include requests from
    // before the start of this process.
    const isOlder = now - ageMs - upMs < this.fleet.startedAt;
    rates.forEach(([account, count]) => {
      const previous = admitted.get(account) ?? (isOlder ? count : 0);
      admitted.set(account, count);
      const bucket = this.buckets.get(account);
      if (count === previous || !bucket) return;
      bucket.debit(count - previous);
      this.fleet.onUse?.(account, count - previous, now);
    });
  }

  /**
   * Lists the requests admitted by this host, for its next report.
   *
   * @param now - monotonic time. Unit: ms
   * @returns name and count of each account whose count changed recently
   */
  listOwnUsage(now = performance.now()): [string, number][] {
    return [...this.buckets.entries()]
      .filter(([, { admittedChangedAt }]) => now - admittedChangedAt < REPORT_DURATION_MS)
      .map(([account, { admitted }]) => [account, admitted]);
  }

  /**
   * Checks whether the usage of an account must be reported to other hosts at shorter intervals.
   *
   * @param account - account of the caller
   * @returns true if its bucket is low
   */
  isLow(account: Account): boolean {
    return this.buckets.get(account.name)?.isLow ?? false;
  }

  private getInitialLevel({ rate, burst }: Account): number {
    if (this.fleet.isFirstStart) return Number.POSITIVE_INFINITY;
    return INITIAL_LEVEL_RATIO * (rate * WINDOW_SECONDS + burst);
  }
}
