/** Targets that have announced that they are draining, independent of their registrations. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Target } from './Target.js';

/** Maximum number of tracked incarnations: several times the targets of the largest planned fleet. */
export const MAX_TRACKED = 2048;

/** Maximum number of targets in a report. Keeps datagrams small when a release replaces half of the targets. */
export const MAX_PER_REPORT = 8;

/** How long a target is reported; by then every host has received a report or contacted the target. Unit: ms. */
const REPORT_DURATION_MS = 10_000;

/** One incarnation of a target. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;

/** A target that told this host directly that it is draining. */
interface ReportedTarget extends Incarnation {
  /** Monotonic time until which it is reported. Unit: ms. */
  readonly reportedUntil: number;
  /** Number of reports that included it. */
  reportCount: number;
}

const createKey = ({ id, bornAt }: Incarnation): string => `${id}/${bornAt}`;

/**
 * Tracks draining targets by incarnation; an incarnation never becomes ready again. Registrations aren't reliable
 * for this: they arrive late, and disappear and reappear around a store outage.
 */
export class DrainingTargets {
  /** In insertion order. */
  private readonly incarnationKeys = new Set<string>();

  /** Targets to include in reports, by key, in insertion order. */
  private readonly reportedTargets = new Map<string, ReportedTarget>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly journal: Pick<Journal, 'record'>) {}

  /**
   * Registers a listener for draining targets that this host learns of from the target itself, before another host
   * reports them.
   *
   * @param listener - called without arguments
   */
  onAdded(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Records that a target told this host that it is draining.
   *
   * @param target - the draining incarnation
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
   * Records the draining targets of another host's report. They aren't reported again, as that host reports them to
   * every other host.
   *
   * @param report - report of the other host
   */
  applyReport({ host, leaving }: Pick<LoadReport, 'host' | 'leaving'>): void {
    leaving.forEach(([id, bornAt]) => this.track({ id, bornAt }, host));
  }

  /**
   * Checks whether a target is draining.
   *
   * @param target - the incarnation
   * @returns true if it must not receive new requests or items
   */
  includes(target: Incarnation): boolean {
    return this.incarnationKeys.size > 0 && this.incarnationKeys.has(createKey(target));
  }

  /**
   * Selects the draining targets for the next report; those included in the fewest reports come first.
   *
   * @param now - monotonic time. Unit: ms
   * @returns id and `bornAt` of each target
   */
  selectForReport(now = performance.now()): LoadReport['leaving'] {
    if (this.reportedTargets.size === 0) return [];
    [...this.reportedTargets.entries()]
      .filter(([, { reportedUntil }]) => reportedUntil <= now)
      .forEach(([key]) => this.reportedTargets.delete(key));
    const next = [...this.reportedTargets.values()]
      .sort((a, b) => a.reportCount - b.reportCount)
      .slice(0, MAX_PER_REPORT);
    return next.map((target) => {
      Object.assign(target, { reportCount: target.reportCount + 1 });
      return [target.id, target.bornAt];
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
