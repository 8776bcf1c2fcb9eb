/** The targets of all services, as their registrations in the store say. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Target } from './Target.js';

/**
 * How long after the store's return a vanished registration still counts: targets that live write
 * theirs again within two seconds. Unit: ms.
 */
const LAPSE_GRACE_MS = 2000;

/** A registration that vanished around an outage of the store. */
interface Lapse {
  readonly target: Target;
  /** Monotonic time at which the target counts as gone. Unit: ms. */
  readonly deadline: number;
}

/** Keeps the targets known to this host. */
export class TargetList {
  private readonly targets = new Map<string, Target>();

  private readonly lapses = new Map<string, Lapse>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly journal: Journal) {}

  /**
   * Calls a listener after each change.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Takes the whole list.
   *
   * @param targets - every target whose registration can be read
   * @param sinceReturnMs - how long ago the store came back; infinite when it never failed. Unit: ms
   */
  replace(targets: readonly Target[], sinceReturnMs: number): void {
    const present = new Set(targets.map(({ id }) => id));
    [...this.targets.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.drop(id, sinceReturnMs));
    targets.forEach((target) => this.store(target));
    this.changed();
  }

  /**
   * Takes one registration.
   *
   * @param target - the target
   */
  put(target: Target): void {
    this.store(target);
    this.changed();
  }

  /**
   * Takes the removal of a registration.
   *
   * @param id - identity of the target
   * @param sinceReturnMs - how long ago the store came back; infinite when it never failed. Unit: ms
   */
  remove(id: string, sinceReturnMs: number): void {
    this.drop(id, sinceReturnMs);
    this.changed();
  }

  /**
   * Lists the targets of a service that take new work.
   *
   * @param service - name of the service
   * @returns ready targets
   */
  readyOf(service: string): Target[] {
    this.endLapses();
    return [...this.targets.values()].filter(
      (target) => target.service === service && target.state === 'ready',
    );
  }

  /**
   * Counts the targets.
   *
   * @returns targets of all services in any state
   */
  get size(): number {
    return this.targets.size;
  }

  /**
   * Finds a target.
   *
   * @param id - identity of the target
   * @returns its present incarnation
   */
  find(id: string): Target | undefined {
    return this.targets.get(id);
  }

  private store(target: Target): void {
    const before = this.targets.get(target.id);
    this.lapses.delete(target.id);
    this.targets.set(target.id, target);
    if (before?.state === target.state && before.bornAt === target.bornAt) return;
    const { id, bornAt, address, failureDomain, state } = target;
    this.journal.record('target-changed', { target: id, bornAt, address, failureDomain, state });
  }

  private drop(id: string, sinceReturnMs: number): void {
    const target = this.targets.get(id);
    if (!target) return;
    if (sinceReturnMs < LAPSE_GRACE_MS) {
      const deadline = performance.now() + LAPSE_GRACE_MS - sinceReturnMs;
      if (!this.lapses.has(id)) this.lapses.set(id, { target, deadline });
      return;
    }
    this.forget(id, 'registration removed');
  }

  private endLapses(): void {
    if (this.lapses.size === 0) return;
    const now = performance.now();
    [...this.lapses.entries()]
      .filter(([, { deadline }]) => now >= deadline)
      .forEach(([id]) => this.forget(id, 'registration not renewed after an outage'));
  }

  private forget(id: string, cause: string): void {
    this.lapses.delete(id);
    this.targets.delete(id);
    this.journal.record('target-gone', { target: id, cause });
  }

  private changed(): void {
    this.listeners.forEach((listener) => listener());
  }
}
