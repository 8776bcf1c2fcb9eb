/** The targets of all services, as their registrations in the store say. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Target } from './Target.js';

/**
 * How long after the store's return a vanished registration still counts: targets that live write
 * theirs again within two seconds. Unit: ms.
 */
const RENEWAL_GRACE_MS = 2000;

/** A registration that vanished around an outage of the store. */
interface MissingRegistration {
  readonly target: Target;
  /** Monotonic time at which the target counts as gone. Unit: ms. */
  readonly deadline: number;
}

/** Keeps the targets known to this host. */
export class TargetList {
  private readonly targets = new Map<string, Target>();

  private readonly missingRegistrations = new Map<string, MissingRegistration>();

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
      .forEach((id) => this.handleRemoval(id, sinceReturnMs));
    targets.forEach((target) => this.setTarget(target));
    this.notifyListeners();
  }

  /**
   * Takes one registration.
   *
   * @param target - the target
   */
  put(target: Target): void {
    this.setTarget(target);
    this.notifyListeners();
  }

  /**
   * Takes the removal of a registration.
   *
   * @param id - identity of the target
   * @param sinceReturnMs - how long ago the store came back; infinite when it never failed. Unit: ms
   */
  remove(id: string, sinceReturnMs: number): void {
    this.handleRemoval(id, sinceReturnMs);
    this.notifyListeners();
  }

  /**
   * Lists the targets of a service that take new work.
   *
   * @param service - name of the service
   * @returns ready targets
   */
  listReady(service: string): Target[] {
    this.removeExpired();
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

  private setTarget(target: Target): void {
    const before = this.targets.get(target.id);
    this.missingRegistrations.delete(target.id);
    this.targets.set(target.id, target);
    if (before?.state === target.state && before.bornAt === target.bornAt) return;
    const { id, bornAt, address, failureDomain, state } = target;
    this.journal.record('target-changed', { target: id, bornAt, address, failureDomain, state });
  }

  private handleRemoval(id: string, sinceReturnMs: number): void {
    const target = this.targets.get(id);
    if (!target) return;
    if (sinceReturnMs < RENEWAL_GRACE_MS) {
      const deadline = performance.now() + RENEWAL_GRACE_MS - sinceReturnMs;
      if (!this.missingRegistrations.has(id))
        this.missingRegistrations.set(id, { target, deadline });
      return;
    }
    this.deleteTarget(id, 'registration removed');
  }

  private removeExpired(): void {
    if (this.missingRegistrations.size === 0) return;
    const now = performance.now();
    [...this.missingRegistrations.entries()]
      .filter(([, { deadline }]) => now >= deadline)
      .forEach(([id]) => this.deleteTarget(id, 'registration not renewed after an outage'));
  }

  private deleteTarget(id: string, cause: string): void {
    this.missingRegistrations.delete(id);
    this.targets.delete(id);
    this.journal.record('target-gone', { target: id, cause });
  }

  private notifyListeners(): void {
    this.listeners.forEach((listener) => listener());
  }
}
