/** Versions of the targets of each service, including those that were replaced a short time ago. */
import type { Target } from '../fleet/Target.js';
import type { StreamRetention } from './StreamRetention.js';

/** Versions by service. */
export type VersionsByService = Record<string, string[]>;

/** Tracks which versions may have begun the streams that callers take up again. */
export class VersionHistory {
  /** Monotonic time at which each version was last in service, by service; infinite while it is. Unit: ms. */
  private readonly lastSeen = new Map<string, Map<string, number>>();

  private readonly listeners: (() => void)[] = [];

  constructor(private readonly retention: Pick<StreamRetention, 'ms'>) {}

  /**
   * Registers a listener for versions that come into service or leave it.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void {
    this.listeners.push(listener);
  }

  /**
   * Applies the registered targets.
   *
   * @param targets - targets of all services in any state
   * @param now - monotonic time. Unit: ms
   */
  update(targets: readonly Target[], now = performance.now()): void {
    const before = JSON.stringify(this.current);
    this.lastSeen.forEach((versions) => {
      versions.forEach((seenAt, version) => versions.set(version, Math.min(seenAt, now)));
    });
    targets.forEach(({ service, version }) => this.set(service, version, Number.POSITIVE_INFINITY));
    if (JSON.stringify(this.current) !== before) this.listeners.forEach((listener) => listener());
  }

  /**
   * Records versions that another process has seen.
   *
   * @param versions - versions by service
   * @param seenAt - monotonic time until which they were in service. Unit: ms
   */
  learn(versions: VersionsByService, seenAt: number): void {
    Object.entries(versions).forEach(([service, names]) =>
      names.forEach((version) => this.set(service, version, seenAt)),
    );
  }

  /**
   * Lists the versions of a service that may have begun a stream which a caller takes up again now.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns versions in service, and those that have left it since a stream can have begun
   */
  listPossible(service: string, now = performance.now()): string[] {
    const versions = [...(this.lastSeen.get(service)?.entries() ?? [])];
    return versions
      .filter(([, seenAt]) => now - seenAt < this.retention.ms)
      .map(([version]) => version);
  }

  /**
   * Checks whether a version is in service.
   *
   * @param service - name of the service
   * @param version - name of the version
   * @returns whether this host knows a registered target of the version
   */
  isInService(service: string, version: string): boolean {
    return this.lastSeen.get(service)?.get(version) === Number.POSITIVE_INFINITY;
  }

  /**
   * Checks whether any service may have streams of several versions.
   *
   * @param now - monotonic time. Unit: ms
   * @returns whether the version of some stream can't be told from the time
   */
  isMixed(now = performance.now()): boolean {
    return [...this.lastSeen.keys()].some((service) => this.listPossible(service, now).length > 1);
  }

  /**
   * Returns the versions in service.
   *
   * @returns versions by service, in a fixed order
   */
  get current(): VersionsByService {
    const entries = [...this.lastSeen.entries()].map(([service, versions]): [string, string[]] => [
      service,
      [...versions.entries()]
        .filter(([, seenAt]) => seenAt === Number.POSITIVE_INFINITY)
        .map(([version]) => version)
        .sort(),
    ]);
    return Object.fromEntries(entries.sort(([a], [b]) => (a < b ? -1 : 1)));
  }

  /**
   * Lists the versions that have left service but may have begun a stream which a caller takes up again now.
   *
   * @param now - monotonic time. Unit: ms
   * @returns monotonic times until which they were in service, by service and version. Unit: ms
   */
  listFormer(now = performance.now()): Record<string, Record<string, number>> {
    const entries = [...this.lastSeen.entries()].map(([service, versions]) => [
      service,
      Object.fromEntries(
        [...versions.entries()].filter(
          ([, seenAt]) => now - seenAt < this.retention.ms && seenAt <= now,
        ),
      ),
    ]);
    return Object.fromEntries(entries) as Record<string, Record<string, number>>;
  }

  private set(service: string, version: string, seenAt: number): void {
    const versions = this.lastSeen.get(service) ?? new Map<string, number>();
    versions.set(version, Math.max(versions.get(version) ?? seenAt, seenAt));
    this.lastSeen.set(service, versions);
  }
}
