/** Targets of all services, from their registrations in the store. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Target } from './Target.js';

/**
 * How long after a store outage a missing registration remains valid. Running targets renew their registration
 * within two seconds. Unit: ms.
 */
const RENEWAL_GRACE_MS = 2000;

/** A registration that disappeared around a store outage. */
interface MissingRegistration {
  readonly target: Target;
  /** Monotonic time at which the target is removed. Unit: ms. */
  readonly deadline: number;
}

export class TargetList {
  private readonly targets = new Map<string, Target>();

  private readonly missingRegistrations = new Map<string, MissingRegistration>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly journal: Journal) {}

  /**
   * Registers a listener that is called after each change.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Replaces the complete list.
   *
   * @param targets - all targets with a readable registration
   * @param sinceOutageMs - time since the end of the store's latest outage; infinite if there was none. Unit: ms
   */
  replace(targets: readonly Target[], sinceOutageMs: number): void {
    const present = new Set(targets.map(({ id }) => id));
    [...this.targets.keys()]
      .filter((id) => !present.has(id))
      .forEach((id) => this.handleRemoval(id, sinceOutageMs));
    targets.forEach((target) => this.setTarget(target));
    this.notifyListeners();
  }

  /**
   * Adds or updates a target.
   *
   * @param target - target as registered
   */
  put(target: Target): void {
    this.setTarget(target);
    this.notifyListeners();
  }

  /**
   * Removes a target whose registration was removed; after a store outage only once the grace period has passed.
   *
   * @param id - id of the target
   * @param sinceOutageMs - time since the end of the store's latest outage; infinite if there was none. Unit: ms
   */
  remove(id: string, sinceOutageMs: number): void {
    this.handleRemoval(id, sinceOutageMs);
    this.notifyListeners();
  }

  /**
   * Removes a target whose registration is invalid. Unlike a missing one, it says that the id names no target.
   *
   * @param id - key of the registration
   */
  reject(id: string): void {
    if (!this.targets.has(id)) return;
    this.deleteTarget(id, 'registration invalid');
    this.notifyListeners();
  }

  /**
   * Lists the targets of a service that accept new requests.
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
   * Number of targets.
   *
   * @returns targets of all services in any state
   */
  get size(): number {
    return this.targets.size;
  }

  /**
   * Lists all targets.
   *
   * @returns targets of all services in any state
   */
  list(): Target[] {
    return [...this.targets.values()];
  }

  /**
   * Finds a target by its id.
   *
   * @param id - id of the target
   * @returns its current incarnation
   */
  find(id: string): Target | undefined {
    return this.targets.get(id);
  }

  private setTarget(target: Target): void {
    const before = this.targets.get(target.id);
    this.missingRegistrations.delete(target.id);
    this.targets.set(target.id, target);
    if (before?.state === target.state && before.bornAt === target.bornAt) return;
    const { id, bornAt, version, address, failureDomain, state } = target;
    this.journal.record('target-changed', {
      target: id,
      bornAt,
      version,
      address,
      failureDomain,
      state,
    });
  }

  private handleRemoval(id: string, sinceOutageMs: number): void {
    const target = this.targets.get(id);
    if (!target) return;
    if (sinceOutageMs < RENEWAL_GRACE_MS) {
      const deadline = performance.now() + RENEWAL_GRACE_MS - sinceOutageMs;
      if (!this.missingRegistrations.has(id))
        this.missingRegistrations.set(id, { target, deadline });
      return;
    }
    this.deleteTarget(id, 'registration removed');
  }

  private removeExpired(): void {
    if (this.missingRegistrations.size === 0) return;
    const now = performance.now();
    const expired = [...this.missingRegistrations.entries()].filter(
      ([, { deadline }]) => now >= deadline,
    );
    if (expired.length === 0) return;
    expired.forEach(([id]) => this.deleteTarget(id, 'registration not renewed after an outage'));
    this.notifyListeners();
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
