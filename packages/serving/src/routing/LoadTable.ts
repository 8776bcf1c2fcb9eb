/** Counts running requests by target: those of this host and those in the reports of other hosts. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';

/** Class of work on a target. */
export type WorkClass = 'online' | 'batch';

/** Running requests on one target. */
export interface TargetLoad {
  readonly online: number;
  readonly batch: number;
}

/** The part of a load report that the table keeps for each host. */
interface HostLoads extends Pick<LoadReport, 'loads' | 'silent' | 'waitingItems'> {
  /** Monotonic time at which the host wrote the report. Unit: ms. */
  readonly writtenAt: number;
}

/** What other hosts have reported of their online requests on one target. */
export interface ReportedWork {
  readonly online: number;
  /** Time for which the requests were expected to hold slots. Unit: ms. */
  readonly workLeftMs: number;
  /** Mean age of the reports, weighted by the number of requests; undefined without requests. Unit: ms. */
  readonly ageMs: number | undefined;
}

/** Sums over the reports of the other hosts for one target. */
interface TargetTotal {
  online: number;
  batch: number;
  /** Unit: ms. */
  workLeftMs: number;
  /** Sum over the online requests of the time at which they were reported. Unit: ms. */
  writtenAtSum: number;
  /** Number of hosts that report the target as unresponsive. */
  unresponsiveReports: number;
  /** Running batch items by host. */
  readonly holders: Map<string, number>;
}

const NO_LOAD: TargetLoad = { online: 0, batch: 0 };

/** Tracks the load of each target over all hosts. */
export class LoadTable {
  private readonly ownByTarget = new Map<string, { online: number; batch: number }>();

  private readonly reportsByHost = new Map<string, HostLoads>();

  private readonly totalsByTarget = new Map<string, TargetTotal>();

  private readonly waitingHosts = new Set<string>();

  private waitingItemsTotal = 0;

  private readonly listeners: (() => void)[] = [];

  /**
   * Adds a listener for changes of this host's own load.
   *
   * @param listener - called without arguments
   */
  onOwnLoadChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Counts a request that this host sends to a target.
   *
   * @param target - identity of the target
   * @param work - class of the request
   * @returns function to call when the request has ended; further calls have no effect
   */
  beginRequest(target: string, work: WorkClass): () => void {
    const load = this.ownByTarget.get(target) ?? { online: 0, batch: 0 };
    this.ownByTarget.set(target, load);
    load[work] += 1;
    this.notifyListeners();
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      load[work] -= 1;
      if (load.online + load.batch === 0) this.ownByTarget.delete(target);
      this.notifyListeners();
    };
  }

  /**
   * Applies the report of another host. The sums are updated here because they are read far more often than
   * reports arrive.
   *
   * @param report - latest report of the host
   * @param now - monotonic time. Unit: ms
   */
  applyReport(report: LoadReport, now = performance.now()): void {
    const previous = this.reportsByHost.get(report.host);
    if (previous) this.accumulate(report.host, previous, -1);
    const { loads, silent, waitingItems, ageMs } = report;
    const current = { loads, silent, waitingItems, writtenAt: now - ageMs };
    this.reportsByHost.set(report.host, current);
    this.accumulate(report.host, current, 1);
  }

  /**
   * Removes a host that sends no more reports. Its requests are gone too, as its connections end with it.
   *
   * @param host - name of the host
   */
  removeHost(host: string): void {
    const previous = this.reportsByHost.get(host);
    if (!previous) return;
    this.accumulate(host, previous, -1);
    this.reportsByHost.delete(host);
  }

  /**
   * Returns this host's own load on a target.
   *
   * @param target - identity of the target
   * @returns running requests of this host
   */
  ownLoad(target: string): TargetLoad {
    return this.ownByTarget.get(target) ?? NO_LOAD;
  }

  /**
   * Returns the load of a target over all known hosts.
   *
   * @param target - identity of the target
   * @returns running requests of all hosts
   */
  totalLoad(target: string): TargetLoad {
    const own = this.ownLoad(target);
    const total = this.totalsByTarget.get(target);
    if (!total) return own;
    return { online: own.online + total.online, batch: own.batch + total.batch };
  }

  /**
   * Returns what other hosts have reported of their online requests on a target.
   *
   * @param target - identity of the target
   * @param now - monotonic time. Unit: ms
   * @returns the sum of the reports
   */
  reportedWork(target: string, now: number): ReportedWork {
    const { online = 0, workLeftMs = 0, writtenAtSum = 0 } = this.totalsByTarget.get(target) ?? {};
    return {
      online,
      workLeftMs,
      ageMs: online > 0 ? Math.max(0, now - writtenAtSum / online) : undefined,
    };
  }

  /**
   * Counts the other hosts that report a target as unresponsive.
   *
   * @param target - identity of the target
   * @returns number of hosts
   */
  countUnresponsiveReports(target: string): number {
    return this.totalsByTarget.get(target)?.unresponsiveReports ?? 0;
  }

  /**
   * Returns the number of other hosts with a known load.
   *
   * @returns number of other hosts
   */
  get hostCount(): number {
    return this.reportsByHost.size;
  }

  /**
   * Lists the batch items on a target by host, to divide the items to cancel among the hosts.
   *
   * @param target - identity of the target
   * @param ownName - name of this host
   * @returns hosts with batch items on the target, in the same order on every host
   */
  batchHolders(target: string, ownName: string): { host: string; batch: number }[] {
    const holders = [...(this.totalsByTarget.get(target)?.holders ?? [])].map(([host, batch]) => ({
      host,
      batch,
    }));
    holders.push({ host: ownName, batch: this.ownLoad(target).batch });
    return holders
      .filter(({ batch }) => batch > 0)
      .sort((a, b) => b.batch - a.batch || (a.host < b.host ? -1 : 1));
  }

  /**
   * Returns the other hosts with batch items that wait for a slot.
   *
   * @returns names of hosts
   */
  get hostsWithWaitingItems(): ReadonlySet<string> {
    return this.waitingHosts;
  }

  /**
   * Returns the number of batch items of other hosts that wait for a slot.
   *
   * @returns sum over the reports
   */
  get reportedWaitingItems(): number {
    return this.waitingItemsTotal;
  }

  /**
   * Lists this host's own loads for a load report.
   *
   * @param workLeftOf - returns the time for which the online requests on a target hold slots from now on. Unit: ms
   * @returns identity, online requests, batch items and work left of each target that this host uses
   */
  ownLoads(workLeftOf: (target: string) => number = () => 0): [string, number, number, number][] {
    return [...this.ownByTarget.entries()].map(([id, { online, batch }]) => [
      id,
      online,
      batch,
      Math.round(workLeftOf(id)),
    ]);
  }

  private accumulate(
    host: string,
    { loads, silent, waitingItems, writtenAt }: HostLoads,
    sign: 1 | -1,
  ): void {
    loads.forEach(([target, online, batch, workLeftMs]) => {
      const total = this.getOrCreateTotal(target);
      total.online += sign * online;
      total.batch += sign * batch;
      total.workLeftMs += sign * workLeftMs;
      total.writtenAtSum += sign * online * writtenAt;
      if (batch === 0) return;
      if (sign > 0) total.holders.set(host, batch);
      else total.holders.delete(host);
    });
    silent.forEach((target) => {
      this.getOrCreateTotal(target).unresponsiveReports += sign;
    });
    this.waitingItemsTotal += sign * waitingItems;
    if (sign > 0 && waitingItems > 0) this.waitingHosts.add(host);
    else this.waitingHosts.delete(host);
  }

  private getOrCreateTotal(target: string): TargetTotal {
    const existing = this.totalsByTarget.get(target);
    if (existing) return existing;
    const total = {
      online: 0,
      batch: 0,
      workLeftMs: 0,
      writtenAtSum: 0,
      unresponsiveReports: 0,
      holders: new Map<string, number>(),
    };
    this.totalsByTarget.set(target, total);
    return total;
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
