/** Targets that tolerate few requests for a while, and the requests that this host may send to them. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ColdLimit } from '../configuration/ServingConfiguration.js';
import { findColdShare } from './coldShares.js';
import type { Target } from './Target.js';

/**
 * Time from the registration of a host to its first request to a cold target. By then the other hosts have read its row, and
 * those whose shares it takes over no longer use them. Unit: ms.
 */
const SETTLING_MS = 3000;

/** Dependencies of {@link ColdTargets}. */
export interface ColdTargetsDependencies {
  readonly ownName: string;
  /** Returns the names of the other hosts. */
  readonly listOthers: () => readonly string[];
  /** Returns the time since this host read its own row; 0 without one. Unit: ms. */
  readonly timeSinceRegistration: () => number;
  /** Returns the limit of a service; undefined if its targets have none. */
  readonly findLimit: (service: string) => ColdLimit | undefined;
  readonly journal: Pick<Journal, 'record'>;
  readonly metrics: Pick<Metrics, 'count'>;
}

/** A known incarnation of a target. */
interface KnownTarget {
  readonly bornAt: number;
  readonly failureDomain: string;
  readonly service: string;
  /** Monotonic time. Unit: ms. */
  coldUntil: number;
  /** Monotonic times of the requests that this host has sent there while it was cold. Unit: ms. */
  sentAt: readonly number[];
}

/** Tracks cold targets and limits the requests of this host to them. */
export class ColdTargets {
  private known = new Map<string, KnownTarget>();

  /** Whether targets were known before; those of the first list have not just appeared. */
  private isLoaded = false;

  constructor(private readonly dependencies: ColdTargetsDependencies) {}

  /**
   * Applies the list of all targets. Targets that were not in the previous list are cold, whatever their registration says.
   *
   * @param targets - all targets
   * @param now - monotonic time. Unit: ms
   */
  update(targets: readonly Target[], now = performance.now()): void {
    const before = this.known;
    this.known = new Map(
      targets.map((target) => {
        const { id, bornAt, failureDomain, service } = target;
        const previous = before.get(id);
        const current =
          previous?.bornAt === bornAt
            ? previous
            : { bornAt, failureDomain, service, coldUntil: Number.NEGATIVE_INFINITY, sentAt: [] };
        return [id, current];
      }),
    );
    targets.forEach((target) => {
      const known = this.known.get(target.id)!;
      const isNew = this.isLoaded && before.get(target.id) !== known;
      if (isNew) this.markStarted(target.id, known, 'start', now);
      this.extend(target.id, known, target.coldUntil, 'registration', now);
    });
    this.isLoaded ||= targets.length > 0;
  }

  /**
   * Records that the targets of a failure domain were without traffic, so that they are as cold as after a start.
   *
   * @param failureDomain - name of the failure domain
   * @param now - monotonic time. Unit: ms
   */
  markDomain(failureDomain: string, now = performance.now()): void {
    this.known.forEach((known, id) => {
      if (known.failureDomain === failureDomain) this.markStarted(id, known, 'evacuation', now);
    });
  }

  /**
   * Checks whether a target is cold.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   * @returns true if it tolerates only a limited rate of requests
   */
  isCold({ id, service }: Pick<Target, 'id' | 'service'>, now = performance.now()): boolean {
    const coldUntil = this.known.get(id)?.coldUntil ?? Number.NEGATIVE_INFINITY;
    return coldUntil > now && this.dependencies.findLimit(service) !== undefined;
  }

  /**
   * Checks whether this host may send a request to a target now.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   * @returns true if the target is warm, or this host has not used up its share
   */
  mayReceive(target: Pick<Target, 'id' | 'service'>, now = performance.now()): boolean {
    if (!this.isCold(target, now)) return true;
    const { ownName, listOthers, timeSinceRegistration, findLimit } = this.dependencies;
    if (timeSinceRegistration() < SETTLING_MS) return false;
    const { rate } = findLimit(target.service)!;
    const share = findColdShare(target.id, ownName, [ownName, ...listOthers()], rate);
    if (!share) return false;
    const since = now - share.windowMs;
    const sent = this.known.get(target.id)!.sentAt.filter((time) => time > since);
    return sent.length < share.requests;
  }

  /**
   * Records a request that this host sends to a target, whatever its outcome.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   */
  recordSend(target: Pick<Target, 'id' | 'service'>, now = performance.now()): void {
    if (!this.isCold(target, now)) return;
    const known = this.known.get(target.id)!;
    known.sentAt = [...known.sentAt, now];
    this.dependencies.metrics.count('cold.sent');
  }

  /** Records that a request was not sent, as only cold targets have room. */
  recordDeferral(): void {
    this.dependencies.metrics.count('cold.deferred');
  }

  private markStarted(id: string, known: KnownTarget, source: string, now: number): void {
    const limit = this.dependencies.findLimit(known.service);
    if (limit) this.extend(id, known, now + limit.startMs, source, now);
  }

  private extend(
    id: string,
    known: KnownTarget,
    coldUntil: number | undefined,
    source: string,
    now: number,
  ): void {
    if (coldUntil === undefined || coldUntil <= known.coldUntil) return;
    const wasCold = known.coldUntil > now;
    if (!wasCold) Object.assign(known, { sentAt: [] });
    Object.assign(known, { coldUntil });
    if (wasCold || coldUntil <= now || !this.dependencies.findLimit(known.service)) return;
    this.dependencies.journal.record('target-cold', {
      target: id,
      bornAt: known.bornAt,
      source,
      forMs: Math.round(coldUntil - now),
    });
  }
}
