/** The configuration that this host has read from the store, and how recently it was confirmed. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { TableFollower } from '../store/TableFollower.js';
import { ConfigurationIndex } from './ConfigurationIndex.js';
import type { ServingConfiguration } from './ServingConfiguration.js';

/**
 * Maximum age of the configuration for accepting keys. A withdrawn key must be rejected by every host within 5 s of its
 * withdrawal; the remaining half second is for reading the request. Unit: ms.
 */
const MAX_KEY_TRUST_AGE_MS = 4500;

/** Maximum age of the configuration for reporting a key or route as unknown. An older one may lack new entries. Unit: ms. */
const MAX_CURRENT_AGE_MS = 2500;

/** Provides the latest known configuration and its age. */
export class ConfigurationView {
  private current: ConfigurationIndex | undefined;

  private readonly listeners: ((index: ConfigurationIndex) => void)[] = [];

  /** Follower of the configuration table, which confirms the configuration. Set once at startup. */
  follower: Pick<TableFollower, 'age'> = { age: Number.POSITIVE_INFINITY };

  constructor(private readonly journal: Journal) {}

  /**
   * Applies a version of the configuration.
   *
   * @param configuration - the latest version in the store
   */
  apply(configuration: ServingConfiguration): void {
    if (configuration.version === this.current?.configuration.version) return;
    this.current = new ConfigurationIndex(configuration);
    this.journal.record('configuration-taken', {
      version: configuration.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
    this.reportUnusedBursts(configuration);
    this.listeners.forEach((listener) => listener(this.current!));
  }

  /** Reports accounts whose burst has no effect: without a rate, their requests are not limited. */
  private reportUnusedBursts({ version, accounts }: ServingConfiguration): void {
    const names = accounts.filter(({ rate, burst }) => rate === 0 && burst > 0);
    if (names.length === 0) return;
    this.journal.record('configuration-inconsistent', {
      version,
      accounts: names.map(({ name }) => name),
      reason: 'burst without a rate',
    });
  }

  /**
   * Adds a listener for new versions.
   *
   * @param listener - called with the index of the new version
   */
  onChange(listener: (index: ConfigurationIndex) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Returns the index of the latest known version.
   *
   * @returns index; undefined before the first version was read
   */
  get index(): ConfigurationIndex | undefined {
    return this.current;
  }

  /**
   * Returns the time since the version was last confirmed as the one in force.
   *
   * @returns age. Unit: ms
   */
  get age(): number {
    return this.follower.age;
  }

  /**
   * Checks whether keys may be accepted.
   *
   * @returns whether the configuration is recent enough to include every withdrawal that must be in force
   */
  get canTrustKeys(): boolean {
    return this.age < MAX_KEY_TRUST_AGE_MS;
  }

  /**
   * Checks whether a key or route without an entry may be reported as unknown.
   *
   * @returns whether the configuration is recent enough for a 401 or 404 response
   */
  get isCurrent(): boolean {
    return this.age < MAX_CURRENT_AGE_MS;
  }
}
