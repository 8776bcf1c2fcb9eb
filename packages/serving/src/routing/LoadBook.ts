/** Running requests on targets: those of this host, and those that other hosts report. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';

/** Class of work on a target. */
export type WorkClass = 'online' | 'batch';

/** Running requests on one target. */
export interface TargetLoad {
  readonly online: number;
  readonly batch: number;
}

/** One other host's loads. */
interface HostLoads {
  readonly loads: ReadonlyMap<string, TargetLoad>;
  readonly silent: ReadonlySet<string>;
  readonly waitingItems: number;
}

const NOTHING: TargetLoad = { online: 0, batch: 0 };

/** Adds up running requests by target. */
export class LoadBook {
  private readonly own = new Map<string, { online: number; batch: number }>();

  private readonly others = new Map<string, HostLoads>();

  private readonly listeners: (() => void)[] = [];

  /**
   * Calls a listener when this host's own loads change.
   *
   * @param listener - called without arguments
   */
  onOwnChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Counts a request of this host.
   *
   * @param target - identity of the target
   * @param work - class of the request
   * @returns must be called once, when the request has left the target
   */
  begin(target: string, work: WorkClass): () => void {
    const load = this.own.get(target) ?? { online: 0, batch: 0 };
    this.own.set(target, load);
    load[work] += 1;
    this.changed();
    let ended = false;
    return () => {
      if (ended) return;
      ended = true;
      load[work] -= 1;
      if (load.online + load.batch === 0) this.own.delete(target);
      this.changed();
    };
  }

  /**
   * Takes the loads of another host.
   *
   * @param report - its newest report
   */
  hear(report: LoadReport): void {
    this.others.set(report.host, {
      loads: new Map(report.loads.map(([id, online, batch]) => [id, { online, batch }])),
      silent: new Set(report.silent),
      waitingItems: report.waitingItems,
    });
  }

  /**
   * Forgets a host that is not heard any more: its connections end with it.
   *
   * @param host - name of the host
   */
  forget(host: string): void {
    this.others.delete(host);
  }

  /**
   * Gives this host's load of a target.
   *
   * @param target - identity of the target
   * @returns running requests of this host
   */
  ownLoad(target: string): TargetLoad {
    return this.own.get(target) ?? NOTHING;
  }

  /**
   * Gives the load of a target over all known hosts.
   *
   * @param target - identity of the target
   * @returns running requests
   */
  totalLoad(target: string): TargetLoad {
    let { online, batch } = this.ownLoad(target);
    this.others.forEach(({ loads }) => {
      const load = loads.get(target);
      if (!load) return;
      online += load.online;
      batch += load.batch;
    });
    return { online, batch };
  }

  /**
   * Counts the hosts that get no answer from a target.
   *
   * @param target - identity of the target
   * @returns number of other hosts
   */
  silentFor(target: string): number {
    return [...this.others.values()].filter(({ silent }) => silent.has(target)).length;
  }

  /**
   * Lists the batch loads of a target by host, for sharing out what must be cancelled.
   *
   * @param target - identity of the target
   * @param ownName - name of this host
   * @returns hosts with batch items there, in an order that is the same on every host
   */
  batchHolders(target: string, ownName: string): { host: string; batch: number }[] {
    const holders = [...this.others.entries()].map(([host, { loads }]) => ({
      host,
      batch: loads.get(target)?.batch ?? 0,
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
  hostsWithWaitingItems(): string[] {
    return [...this.others.entries()]
      .filter(([, { waitingItems }]) => waitingItems > 0)
      .map(([host]) => host);
  }

  /**
   * Lists this host's loads for a report.
   *
   * @returns identity, online requests and batch items of each target in use
   */
  ownLoads(): [string, number, number][] {
    return [...this.own.entries()].map(([id, { online, batch }]) => [id, online, batch]);
  }

  private changed(): void {
    this.listeners.forEach((listener) => listener());
  }
}
