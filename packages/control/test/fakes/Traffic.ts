/** Sends requests of one client account to the hosts of a fleet, and checks the fleet-wide limits. */
import type { Account } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { defaultSettings } from '@jacinthlug/settings/tree/declarations';
import { getLeaseKey, getShard } from '../../src/rates/shards.js';
import type { Fleet, Host } from './Fleet.js';
import { injectFault } from './randomFaults.js';

/** Faults under which limits are checked; those that move the home or pause holders are frequent. */
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

/** Probability that a fault starts within 100 ms. */
const FAULT_PROBABILITY = 0.008;

/** Probability that a fault affects the home of the account. */
const HOME_FAULT_PROBABILITY = 0.3;

/** Rate and burst that are checked. */
interface Limits {
  readonly rate: number;
  readonly burst: number;
}

/** Tolerance for rounding errors in sums of fractions of a token. */
const TOLERANCE = 1e-6;

/** Sends requests of one account and checks them against its limits. */
export class Traffic {
  admitted = 0;

  refused = 0;

  /** Requests that waited for a response of the home. */
  waited = 0;

  /** Maximum excess over rate x time + burst in any interval. Unit: requests. */
  excess = 0;

  readonly refusals = new Map<string, number>();

  #tokens: number;

  #refilledAt: number;

  #isRunning = false;

  constructor(
    private readonly fleet: Fleet,
    private limits: Limits,
  ) {
    this.#tokens = limits.burst;
    this.#refilledAt = fleet.simulation.now;
  }

  /** Changes the limits that are checked. */
  setLimits(limits: Limits): void {
    this.#refill();
    this.limits = limits;
  }

  /** Sends requests at exponentially distributed intervals until `stop` is called. */
  start(getRate: (name: string) => number): void {
    const { simulation } = this.fleet;
    this.#isRunning = true;
    [...this.fleet.hosts.keys()].forEach((name) => {
      const next = (): void => {
        const gap = -Math.log(1 - simulation.random()) / getRate(name);
        simulation.schedule(gap * 1000, () => {
          if (!this.#isRunning) return;
          const host = this.fleet.hosts.get(name);
          if (host && !host.isPaused) void this.#send(host);
          next();
        });
      };
      if (getRate(name) > 0) next();
    });
  }

  stop(): void {
    this.#isRunning = false;
  }

  /** Returns the name of the host that is the home of the account. */
  getHomeName(): string {
    const holder = this.fleet.table.row(getLeaseKey(getShard('harbor')))?.attributes.holder;
    return String(holder).split('#')[0] ?? '';
  }

  /** Runs the fleet under random faults. */
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

  /** Refills a bucket with the full rate and burst. Unless it is overdrawn, no interval exceeds the limits. */
  #refill(): void {
    const { now } = this.fleet.simulation;
    const refilled = this.#tokens + (this.limits.rate * (now - this.#refilledAt)) / 1000;
    this.#tokens = Math.min(this.limits.burst, refilled);
    this.#refilledAt = now;
  }

  #debit(): void {
    this.#refill();
    this.#tokens -= 1;
    if (this.#tokens < -TOLERANCE) this.excess = Math.max(this.excess, -this.#tokens);
  }
}
