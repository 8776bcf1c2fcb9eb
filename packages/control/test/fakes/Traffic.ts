/** Requests of one client account on the hosts of a fleet, with a check of the fleet-wide limits. */
import type { Account } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { defaultSettings } from '@jacinthlug/settings/tree/declarations';
import { getLeaseKey, getShard } from '../../src/rates/shards.js';
import type { Fleet, Host } from './Fleet.js';
import { injectFault } from './randomFaults.js';

/** Faults under which limits are checked; those that move the home or pause holders come often. */
const FAULT_KINDS = [
  'crash',
  'crash',
  'replace',
  'pause',
  'pause',
  'cutOff',
  'tableCutOff',
  'outage',
];

/** Probability that a fault starts in 100 ms. */
const FAULT_PROBABILITY = 0.008;

/** Probability that a fault strikes the home of the account. */
const HOME_FAULT_PROBABILITY = 0.3;

/** Rate and burst, and from when on they count. */
interface Limits {
  readonly rate: number;
  readonly burst: number;
}

/** Rounding errors of sums of fractions of a token. */
const TOLERANCE = 1e-6;

/** Requests of one account, counted against its limits. */
export class Traffic {
  admitted = 0;

  refused = 0;

  /** Requests that waited for an answer of the home. */
  waited = 0;

  /** Largest excess over rate x time + burst in any interval. Unit: requests. */
  excess = 0;

  readonly refusals = new Map<string, number>();

  #level: number;

  #levelAt: number;

  #isRunning = false;

  constructor(
    private readonly fleet: Fleet,
    private limits: Limits,
  ) {
    this.#level = limits.burst;
    this.#levelAt = fleet.simulation.now;
  }

  /** Changes the limits that are checked. */
  setLimits(limits: Limits): void {
    this.#fill();
    this.limits = limits;
  }

  /** Sends requests with exponential gaps until `stop`. */
  start(rateOf: (name: string) => number): void {
    const { simulation } = this.fleet;
    this.#isRunning = true;
    [...this.fleet.hosts.keys()].forEach((name) => {
      const next = (): void => {
        const gap = -Math.log(1 - simulation.random()) / rateOf(name);
        simulation.schedule(gap * 1000, () => {
          if (!this.#isRunning) return;
          const host = this.fleet.hosts.get(name);
          if (host && !host.isPaused) void this.#send(host);
          next();
        });
      };
      if (rateOf(name) > 0) next();
    });
  }

  stop(): void {
    this.#isRunning = false;
  }

  /** Names the home of the account. */
  getHomeName(): string {
    const holder = this.fleet.table.row(getLeaseKey(getShard('harbor')))?.attributes.holder;
    return String(holder).split('#')[0] ?? '';
  }

  /** Lets time pass under random faults. */
  async runUnderFaults(durationMs: number): Promise<void> {
    const { simulation } = this.fleet;
    const busy = new Set<string>();
    for (let elapsed = 0; elapsed < durationMs; elapsed += 100) {
      await this.fleet.run(100);
      const preferred =
        simulation.random() < HOME_FAULT_PROBABILITY ? this.getHomeName() : undefined;
      if (simulation.random() < FAULT_PROBABILITY)
        injectFault(this.fleet, busy, FAULT_KINDS, preferred);
    }
  }

  async #send(host: Host): Promise<void> {
    const account: Account = { name: 'harbor', settings: defaultSettings };
    const sentAt = this.fleet.simulation.now;
    const outcome = await host.rates.acquire(account);
    if (this.fleet.simulation.now > sentAt) this.waited += 1;
    if (outcome.isOk()) {
      this.admitted += 1;
      this.#debit();
    } else {
      this.refused += 1;
      const { code } = outcome.error;
      this.refusals.set(code, (this.refusals.get(code) ?? 0) + 1);
    }
  }

  /** A bucket of the whole rate and burst that is never overdrawn bounds every interval. */
  #fill(): void {
    const { now } = this.fleet.simulation;
    const filled = this.#level + (this.limits.rate * (now - this.#levelAt)) / 1000;
    this.#level = Math.min(this.limits.burst, filled);
    this.#levelAt = now;
  }

  #debit(): void {
    this.#fill();
    this.#level -= 1;
    if (this.#level < -TOLERANCE) this.excess = Math.max(this.excess, -this.#level);
  }
}
