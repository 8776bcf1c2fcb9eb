/** The targets that have said that they leave, whatever their registrations say. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Target } from './Target.js';

/** Departures that are known at once: several times the targets of the largest fleet that is planned for. */
export const MOST_KNOWN = 2048;

/** Departures of one report, so that a release which replaces half of the targets does not swell the datagrams. */
export const MOST_REPORTED = 8;

/** How long this host reports what a target said to it; afterwards all hosts know, or have asked the target. Unit: ms. */
const REPORTED_FOR_MS = 10_000;

/** One incarnation of a target. */
type Incarnation = Pick<Target, 'id' | 'bornAt'>;

/** A departure that this host has heard from the target itself. */
interface HeardDeparture extends Incarnation {
  /** Monotonic time until which it is reported. Unit: ms. */
  readonly reportedUntil: number;
  /** Reports that it was in. */
  reports: number;
}

const keyOf = ({ id, bornAt }: Incarnation): string => `${id}/${bornAt}`;

/**
 * Keeps departures by incarnation: they end only with it. Registrations come late, vanish in an outage of the store
 * and come back, while the targets' own word is never taken back.
 */
export class Departures {
  /** The oldest one first. */
  private readonly known = new Set<string>();

  /** Those to report, the oldest one first. */
  private readonly heard = new Map<string, HeardDeparture>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly journal: Pick<Journal, 'record'>) {}

  /**
   * Calls a listener when a target has told this host what no other host has reported.
   *
   * @param listener - called without arguments
   */
  onHeard(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes the word of a target to this host.
   *
   * @param target - the incarnation that leaves
   * @param now - monotonic time. Unit: ms
   */
  add({ id, bornAt }: Incarnation, now = performance.now()): void {
    const key = keyOf({ id, bornAt });
    if (this.heard.has(key)) return;
    this.heard.set(key, { id, bornAt, reportedUntil: now + REPORTED_FOR_MS, reports: 0 });
    if (this.learn({ id, bornAt }, 'its answer')) this.listeners.forEach((listener) => listener());
  }

  /**
   * Takes what another host reports. It is not reported again: every host hears of it from the one that was told.
   *
   * @param report - the host's report
   */
  hear({ host, leaving }: Pick<LoadReport, 'host' | 'leaving'>): void {
    leaving.forEach(([id, bornAt]) => this.learn({ id, bornAt }, host));
  }

  /**
   * Tells whether a target has said that it leaves.
   *
   * @param target - the incarnation
   * @returns whether it must get nothing new
   */
  includes(target: Incarnation): boolean {
    return this.known.size > 0 && this.known.has(keyOf(target));
  }

  /**
   * Lists departures for the next report, those first that were in the fewest reports.
   *
   * @param now - monotonic time. Unit: ms
   * @returns identity and birth of each
   */
  nextReported(now = performance.now()): LoadReport['leaving'] {
    if (this.heard.size === 0) return [];
    [...this.heard.entries()]
      .filter(([, { reportedUntil }]) => reportedUntil <= now)
      .forEach(([key]) => this.heard.delete(key));
    const next = [...this.heard.values()]
      .sort((a, b) => a.reports - b.reports)
      .slice(0, MOST_REPORTED);
    return next.map((departure) => {
      Object.assign(departure, { reports: departure.reports + 1 });
      return [departure.id, departure.bornAt];
    });
  }

  private learn(target: Incarnation, source: string): boolean {
    const key = keyOf(target);
    if (this.known.has(key)) return false;
    this.known.add(key);
    const [oldest] = this.known;
    if (this.known.size > MOST_KNOWN) this.known.delete(oldest!);
    this.journal.record('target-leaving', { target: target.id, bornAt: target.bornAt, source });
    return true;
  }
}
