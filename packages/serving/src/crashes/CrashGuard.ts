/** Keeps content on which targets crash from reaching further targets. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { BlockedContent, FoundBlock } from './BlockedContent.js';
import { isRequestKey } from './contentKeys.js';
import { CrashLog, type FailedRequest } from './CrashLog.js';
import { findCulprit } from './findCulprit.js';

/** Dependencies of {@link CrashGuard}. */
export interface CrashGuardDependencies {
  readonly blockedContent: BlockedContent;
  readonly journal: Pick<Journal, 'record'>;
}

/** Blocks content by the crashes that all hosts observe. */
export class CrashGuard {
  private readonly log = new CrashLog();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly dependencies: CrashGuardDependencies) {}

  /**
   * Registers a listener for evidence that other hosts must know soon.
   *
   * @param listener - called without arguments
   */
  onEvidence(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Finds a block of a request's content.
   *
   * @param contentKeys - content keys of the request
   * @param now - monotonic time. Unit: ms
   * @returns the block; undefined if none of the keys is blocked
   */
  findBlock(contentKeys: readonly string[], now = performance.now()): FoundBlock | undefined {
    // More requests may have been served since the last crash, which makes the evidence clearer.
    if (contentKeys.some((key) => this.log.hasFailedSinceServed(key))) this.blockCulprit(now);
    return this.dependencies.blockedContent.find(contentKeys, now);
  }

  /**
   * Finds a block of a request's content that is known already, without judging the crashes anew.
   *
   * @param contentKeys - content keys of the request
   * @param now - monotonic time. Unit: ms
   * @returns the block; undefined if none of the keys is blocked
   */
  findKnownBlock(contentKeys: readonly string[], now = performance.now()): FoundBlock | undefined {
    return this.dependencies.blockedContent.find(contentKeys, now);
  }

  /**
   * Records a request whose connection was lost before its response was under way.
   *
   * @param request - the request
   * @param now - monotonic time. Unit: ms
   */
  recordFailure(request: FailedRequest, now = performance.now()): void {
    this.log.recordFailure(request, now);
    this.blockAgain(request, now);
    this.blockCulprit(now);
    this.notifyListeners();
  }

  /**
   * Records that the response to a request is under way, which proves that its content doesn't crash targets.
   *
   * @param service - name of the service
   * @param contentKeys - content keys of the request
   * @param now - monotonic time. Unit: ms
   */
  recordServed(service: string, contentKeys: readonly string[], now = performance.now()): void {
    this.log.recordServed(service, contentKeys, now);
    contentKeys.forEach((key) => this.clear(key, now, true));
  }

  /**
   * Applies the observations of another host.
   *
   * @param report - its latest report
   * @param now - monotonic time. Unit: ms
   */
  applyReport(report: LoadReport, now = performance.now()): void {
    report.servedContent.forEach(([key, servedMsAgo]) =>
      this.clear(key, now - report.ageMs - servedMsAgo, false),
    );
    if (this.log.applyReport(report, now)) this.blockCulprit(now);
  }

  /**
   * Creates this host's part of a report.
   *
   * @param now - monotonic time. Unit: ms
   * @returns recent crashes, content served after a crash, and numbers of served requests
   */
  createReport(now = performance.now()): ReturnType<CrashLog['createReport']> {
    return this.log.createReport(now);
  }

  /** Writes this host's blocks to the store. */
  async save(): Promise<void> {
    await this.dependencies.blockedContent.save();
  }

  private clear(key: string, servedAt: number, isOwn: boolean): void {
    const { blockedContent, journal } = this.dependencies;
    if (!blockedContent.clear(key, servedAt, isOwn)) return;
    journal.record('content-unblocked', { content: key, isOwn });
    if (isOwn) this.notifyListeners();
  }

  /** Extends the block of a batch item's own content, on which a target has crashed in a run after the block. */
  private blockAgain({ contentKeys, sentAt }: FailedRequest, now: number): void {
    const { blockedContent, journal } = this.dependencies;
    const block = blockedContent.find(contentKeys.filter(isRequestKey), now);
    if (!block || sentAt <= block.since) return;
    const { until, count } = blockedContent.block(block.key, now, true);
    journal.record('content-blocked', {
      content: block.key,
      crashes: 1,
      sinceMs: Math.round(now - block.since),
      blockMs: Math.round(until - now),
      blocks: count,
    });
  }

  /** Blocks the content that explains the crashes, if any. Hosts that observed its failures save the block. */
  private blockCulprit(now: number): void {
    const { blockedContent, journal } = this.dependencies;
    const unexplained = this.log.listUnexplained((key) => blockedContent.isBlocked(key, now), now);
    const culprit = findCulprit(unexplained, {
      lastServedAt: (key) => this.log.lastServedAt(key),
      countServed: (service, from, to) => this.log.countServed(service, from, to),
      hasCrashedTargets: (key) => blockedContent.wasBlocked(key, now),
    });
    if (!culprit) return;
    const { key, crashes, chance } = culprit;
    const { until, count } = blockedContent.block(key, now, this.log.hasObserved(key));
    journal.record('content-blocked', {
      content: key,
      crashes: crashes.length,
      sinceMs: Math.round(now - crashes[0]!.at),
      chance,
      blockMs: Math.round(until - now),
      blocks: count,
    });
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
