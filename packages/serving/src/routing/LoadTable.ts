/** Running requests on targets: those of this host, and those that other hosts report. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';

/** Class of work on a target. */
export type WorkClass = 'online' | 'batch';

/** Running requests on one target. */
export interface TargetLoad {
  readonly online: number;
  readonly batch: number;
}

/** One other host's newest report. */
type HostLoads = Pick<LoadReport, 'loads' | 'silent' | 'waitingItems'>;

/** What the other hosts together say of a target. */
interface TargetTotal {
  online: number;
  batch: number;
  /** Hosts that get no answer from it. */
  silent: number;
  /** Batch items by host. */
  readonly holders: Map<string, number>;
}

const NO_LOAD: TargetLoad = { online: 0, batch: 0 };

/** Adds up running requests by target. */
export class LoadTable {
  private readonly ownByTarget = new Map<string, { online: number; batch: number }>();

  private readonly reportsByHost = new Map<string, HostLoads>();

  private readonly totalsByTarget = new Map<string, TargetTotal>();

  private readonly waitingHosts = new Set<string>();

  private readonly listeners: (() => void)[] = [];

  /**
   * Calls a listener when this host's own loads change.
   *
   * @param listener - called without arguments
   */
  onOwnLoadChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Counts a request of this host.
   *
   * @param target - identity of the target
   * @param work - class of the request
   * @returns must be called once, when the request has left the target
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
   * Takes the loads of another host. Sums are kept up here, as choices are made far more often than reports come.
   *
   * @param report - its newest report
   */
  applyReport(report: LoadReport): void {
    const before = this.reportsByHost.get(report.host);
    if (before) this.accumulate(report.host, before, -1);
    this.reportsByHost.set(report.host, report);
    this.accumulate(report.host, report, 1);
  }

  /**
   * Forgets a host that is not heard any more: its connections end with it.
   *
   * @param host - name of the host
   */
  removeHost(host: string): void {
    const before = this.reportsByHost.get(host);
    if (!before) return;
    this.accumulate(host, before, -1);
    this.reportsByHost.delete(host);
  }

  /**
   * Gives this host's load of a target.
   *
   * @param target - identity of the target
   * @returns running requests of this host
   */
  ownLoad(target: string): TargetLoad {
    return this.ownByTarget.get(target) ?? NO_LOAD;
  }

  /**
   * Gives the load of a target over all known hosts.
   *
   * @param target - identity of the target
   * @returns running requests
   */
  totalLoad(target: string): TargetLoad {
    const own = this.ownLoad(target);
    const total = this.totalsByTarget.get(target);
    if (!total) return own;
    return { online: own.online + total.online, batch: own.batch + total.batch };
  }

  /**
   * Counts the hosts that get no answer from a target.
   *
   * @param target - identity of the target
   * @returns number of other hosts
   */
  countUnresponsiveReports(target: string): number {
    return this.totalsByTarget.get(target)?.silent ?? 0;
  }

  /**
   * Counts the hosts whose loads are known.
   *
   * @returns number of other hosts
   */
  get hostCount(): number {
    return this.reportsByHost.size;
  }

  /**
   * Lists the batch loads of a target by host, for sharing out what must be cancelled.
   *
   * @param target - identity of the target
   * @param ownName - name of this host
   * @returns hosts with batch items there, in an order that is the same on every host
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
   * Lists the other hosts with batch items that wait for a slot.
   *
   * @returns names of hosts
   */
  get hostsWithWaitingItems(): ReadonlySet<string> {
    return this.waitingHosts;
  }

  /**
   * Lists this host's loads for a report.
   *
   * @returns identity, online requests and batch items of each target in use
   */
  ownLoads(): [string, number, number][] {
    return [...this.ownByTarget.entries()].map(([id, { online, batch }]) => [id, online, batch]);
  }

  private accumulate(host: string, { loads, silent, waitingItems }: HostLoads, sign: 1 | -1): void {
    loads.forEach(([target, online, batch]) => {
      const total = this.getOrCreateTotal(target);
      total.online += sign * online;
      total.batch += sign * batch;
      if (batch === 0) return;
      if (sign > 0) total.holders.set(host, batch);
      else total.holders.delete(host);
    });
    silent.forEach((target) => {
      this.getOrCreateTotal(target).silent += sign;
    });
    if (sign > 0 && waitingItems > 0) this.waitingHosts.add(host);
    else this.waitingHosts.delete(host);
  }

  private getOrCreateTotal(target: string): TargetTotal {
    const known = this.totalsByTarget.get(target);
    if (known) return known;
    const total = { online: 0, batch: 0, silent: 0, holders: new Map<string, number>() };
    this.totalsByTarget.set(target, total);
    return total;
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
