/**
 * Tracks requests whose attempts ended in connection failures, so that a request that crashes its targets isn't sent
 * to all of them.
 */
import { createHash } from 'node:crypto';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';

/** Number of connection failures from which on a request is refused. */
const MAX_CONNECTION_FAILURES = 3;

/** How long the failures of a request count after its latest one. Unit: ms. */
const RETENTION_MS = 60_000;

/** Maximum number of tracked requests; the oldest are dropped. */
const MAX_REQUESTS = 1000;

/** Length of a fingerprint, in base64 characters. */
const FINGERPRINT_LENGTH = 16;

interface FailureCount {
  count: number;
  /** Monotonic time of the latest failure. Unit: ms. */
  at: number;
}

/** The fields that identify a request: two requests with equal fields are the same. */
export interface RequestContent {
  readonly account: string | undefined;
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Computes the fingerprint of a request. A retry by its caller has the same fingerprint.
 *
 * @param content - account, path and body
 * @returns the fingerprint
 */
export const computeFingerprint = ({ account, path, body }: RequestContent): string =>
  createHash('sha256')
    .update(`${account ?? ''}\0${path}\0`)
    .update(body)
    .digest('base64')
    .slice(0, FINGERPRINT_LENGTH);

/** Counts connection failures by request, over all hosts. */
export class ConnectionFailureTracker {
  private readonly ownFailures = new Map<string, FailureCount>();

  private readonly failuresByHost = new Map<string, ReadonlyMap<string, number>>();

  /**
   * Records a connection failure.
   *
   * @param fingerprint - fingerprint of the request
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(fingerprint: string, now: number): void {
    const count = (this.ownFailures.get(fingerprint)?.count ?? 0) + 1;
    // Reinserting moves the entry to the end, which keeps the map ordered by the latest failure.
    this.ownFailures.delete(fingerprint);
    this.ownFailures.set(fingerprint, { count, at: now });
    const [oldest] = this.ownFailures.keys();
    if (this.ownFailures.size > MAX_REQUESTS && oldest !== undefined)
      this.ownFailures.delete(oldest);
  }

  /**
   * Applies the failure counts of another host, which replace its earlier ones.
   *
   * @param report - the host's latest report
   */
  applyReport({ host, connectionFailures }: LoadReport): void {
    if (connectionFailures.length > 0) this.failuresByHost.set(host, new Map(connectionFailures));
    else this.failuresByHost.delete(host);
  }

  /**
   * Checks whether no failures are known, in which case a request's fingerprint need not be computed.
   *
   * @returns whether no failures are recorded, here or by other hosts
   */
  get isEmpty(): boolean {
    return this.ownFailures.size === 0 && this.failuresByHost.size === 0;
  }

  /**
   * Checks whether a request has had too many connection failures.
   *
   * @param fingerprint - fingerprint of the request
   * @param now - monotonic time. Unit: ms
   * @returns whether it is refused
   */
  isBlocked(fingerprint: string, now: number): boolean {
    const own = this.ownFailures.get(fingerprint);
    let count = own && now - own.at < RETENTION_MS ? own.count : 0;
    this.failuresByHost.forEach((failures) => {
      count += failures.get(fingerprint) ?? 0;
    });
    return count >= MAX_CONNECTION_FAILURES;
  }

  /**
   * Lists this host's recent failures for a report, and drops expired ones.
   *
   * @param now - monotonic time. Unit: ms
   * @returns fingerprint and failure count of each request
   */
  listRecent(now: number): [string, number][] {
    [...this.ownFailures.entries()]
      .filter(([, { at }]) => now - at >= RETENTION_MS)
      .forEach(([fingerprint]) => this.ownFailures.delete(fingerprint));
    return [...this.ownFailures.entries()].map(([fingerprint, { count }]) => [fingerprint, count]);
  }
}
