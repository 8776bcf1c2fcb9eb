/** The targets that have said that they leave, whatever their registrations say. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Target } from './Target.js';

/** Departures that are known at once: several times the targets of the largest fleet that is planned for. */
export const MAX_TRACKED = 2048;

/** Departures of one report, so that a release which replaces half of the targets does not swell the datagrams. */
export const MAX_PER_REPORT = 8;

/** How long this host reports what a target said to it; afterwards all hosts know, or have asked the target. Unit: ms. */
const REPORT_DURATION_MS = 10_000;

/** One incarnation of a target. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;

/** A departure that this host has heard from the target itself. */
interface ReportedTarget extends Incarnation {
  /** Monotonic time until which it is reported. Unit: ms. */
  readonly reportedUntil: number;
  /** Reports that it was in. */
  reportCount: number;
}

const createKey = ({ id, bornAt }: Incarnation): string => `${id}/${bornAt}`;

/**
 * Keeps departures by incarnation: they end only with it. Registrations come late, vanish in an outage of the store
 * and come back, while the targets' own word is never taken back.
 */
export class DrainingTargets {
  /** The oldest one first. */
  private readonly incarnationKeys = new Set<string>();

  /** Those to report, the oldest one first. */
  private readonly reportedTargets = new Map<string, ReportedTarget>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly journal: Pick<Journal, 'record'>) {}

  /**
   * Calls a listener when a target has told this host what no other host has reported.
   *
   * @param listener - called without arguments
   */
  onAdded(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes the word of a target to this host.
   *
   * @param target - the incarnation that leaves
   * @param now - monotonic time. Unit: ms
   */
  add({ id, bornAt }: Incarnation, now = performance.now()): void {
    const key = createKey({ id, bornAt });
    if (this.reportedTargets.has(key)) return;
    this.reportedTargets.set(key, {
      id,
      bornAt,
      reportedUntil: now + REPORT_DURATION_MS,
      reportCount: 0,
    });
    if (this.track({ id, bornAt }, 'its answer')) this.listeners.forEach((listener) => listener());
  }

  /**
   * Takes what another host reports. It is not reported again: every host hears of it from the one that was told.
   *
   * @param report - the host's report
   */
  applyReport({ host, leaving }: Pick<LoadReport, 'host' | 'leaving'>): void {
    leaving.forEach(([id, bornAt]) => this.track({ id, bornAt }, host));
  }

  /**
   * Tells whether a target has said that it leaves.
   *
   * @param target - the incarnation
   * @returns whether it must get nothing new
   */
  includes(target: Incarnation): boolean {
    return this.incarnationKeys.size > 0 && this.incarnationKeys.has(createKey(target));
  }

  /**
   * Lists departures for the next report, those first that were in the fewest reports.
   *
   * @param now - monotonic time. Unit: ms
   * @returns identity and birth of each
   */
  selectForReport(now = performance.now()): LoadReport['leaving'] {
    if (this.reportedTargets.size === 0) return [];
    [...this.reportedTargets.entries()]
      .filter(([, { reportedUntil }]) => reportedUntil <= now)
      .forEach(([key]) => this.reportedTargets.delete(key));
    const next = [...this.reportedTargets.values()]
      .sort((a, b) => a.reportCount - b.reportCount)
      .slice(0, MAX_PER_REPORT);
    return next.map((departure) => {
      Object.assign(departure, { reportCount: departure.reportCount + 1 });
      return [departure.id, departure.bornAt];
    });
  }

  private track(target: Incarnation, source: string): boolean {
    const key = createKey(target);
    if (this.incarnationKeys.has(key)) return false;
    this.incarnationKeys.add(key);
    const [oldest] = this.incarnationKeys;
    if (this.incarnationKeys.size > MAX_TRACKED) this.incarnationKeys.delete(oldest!);
    this.journal.record('target-leaving', { target: target.id, bornAt: target.bornAt, source });
    return true;
  }
}
