/** Requests whose targets broke off, so that one that crashes its targets is not sent to all of them. */
import { createHash } from 'node:crypto';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';

/** Broken sends after which a request is refused. */
const MAX_CONNECTION_FAILURES = 3;

/** How long a break counts after the latest one of its request. Unit: ms. */
const RETENTION_MS = 60_000;

/** Requests that are kept at most; the oldest make room. */
const MAX_REQUESTS = 1000;

/** Length of a fingerprint, in characters of base64. */
const FINGERPRINT_LENGTH = 16;

interface FailureCount {
  count: number;
  /** Monotonic time of the latest break. Unit: ms. */
  at: number;
}

/** What makes two requests the same. */
export interface RequestContent {
  readonly account: string | undefined;
  readonly path: string;
  readonly body: Buffer;
}

/**
 * Gives the fingerprint of a request; a repeat by its caller has the same one.
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

/** Counts broken sends by request, over all hosts. */
export class ConnectionFailureTracker {
  private readonly ownFailures = new Map<string, FailureCount>();

  private readonly failuresByHost = new Map<string, ReadonlyMap<string, number>>();

  /**
   * Counts a broken send.
   *
   * @param fingerprint - fingerprint of the request
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(fingerprint: string, now: number): void {
    const count = (this.ownFailures.get(fingerprint)?.count ?? 0) + 1;
    // A later entry of the map is a newer one.
    this.ownFailures.delete(fingerprint);
    this.ownFailures.set(fingerprint, { count, at: now });
    const [oldest] = this.ownFailures.keys();
    if (this.ownFailures.size > MAX_REQUESTS && oldest !== undefined)
      this.ownFailures.delete(oldest);
  }

  /**
   * Takes the breaks of another host.
   *
   * @param report - its newest report
   */
  applyReport({ host, connectionFailures: breaks }: LoadReport): void {
    if (breaks.length > 0) this.failuresByHost.set(host, new Map(breaks));
    else this.failuresByHost.delete(host);
  }

  /**
   * Tells whether there is anything to look up, which spares the fingerprint of most requests.
   *
   * @returns whether no send broke lately
   */
  get isEmpty(): boolean {
    return this.ownFailures.size === 0 && this.failuresByHost.size === 0;
  }

  /**
   * Tells whether a request broke too many sends.
   *
   * @param fingerprint - fingerprint of the request
   * @param now - monotonic time. Unit: ms
   * @returns whether it is refused
   */
  isBlocked(fingerprint: string, now: number): boolean {
    const own = this.ownFailures.get(fingerprint);
    let count = own && now - own.at < RETENTION_MS ? own.count : 0;
    this.failuresByHost.forEach((breaks) => {
      count += breaks.get(fingerprint) ?? 0;
    });
    return count >= MAX_CONNECTION_FAILURES;
  }

  /**
   * Lists this host's breaks for a report.
   *
   * @param now - monotonic time. Unit: ms
   * @returns fingerprint and count of each request that broke a send lately
   */
  listRecent(now: number): [string, number][] {
    [...this.ownFailures.entries()]
      .filter(([, { at }]) => now - at >= RETENTION_MS)
      .forEach(([fingerprint]) => this.ownFailures.delete(fingerprint));
    return [...this.ownFailures.entries()].map(([fingerprint, { count }]) => [fingerprint, count]);
  }
}
