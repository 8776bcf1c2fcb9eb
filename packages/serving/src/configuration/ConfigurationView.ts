/** The configuration as this host knows it, with the age of that knowledge. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { TableFollower } from '../store/TableFollower.js';
import { ConfigurationIndex } from './ConfigurationIndex.js';
import type { ServingConfiguration } from './ServingConfiguration.js';

/**
 * Age of the proof above which keys are not trusted. A withdrawn key must stop within 5 s of its
 * withdrawal on every host; half a second is left for the request to be read. Unit: ms.
 */
const MAX_KEY_TRUST_AGE_MS = 4500;

/** Age of the proof above which "unknown" may only mean "not known here yet". Unit: ms. */
const MAX_CURRENT_AGE_MS = 2500;

/** The configuration in force, as far as this host can tell. */
export class ConfigurationView {
  private current: ConfigurationIndex | undefined;

  private readonly listeners: ((index: ConfigurationIndex) => void)[] = [];

  /** Follower that proves the configuration; set once at start. */
  follower: Pick<TableFollower, 'age'> = { age: Number.POSITIVE_INFINITY };

  constructor(private readonly journal: Journal) {}

  /**
   * Takes a version.
   *
   * @param configuration - the newest version of the store
   */
  apply(configuration: ServingConfiguration): void {
    if (configuration.version === this.current?.configuration.version) return;
    this.current = new ConfigurationIndex(configuration);
    this.journal.record('configuration-taken', {
      version: configuration.version,
      routes: configuration.routes.length,
      accounts: configuration.accounts.length,
    });
    this.listeners.forEach((listener) => listener(this.current!));
  }

  /**
   * Calls a listener at each new version.
   *
   * @param listener - called with the new directory
   */
  onChange(listener: (directory: ConfigurationIndex) => void): void {
    this.listeners.push(listener);
  }

  /**
   * Gives the newest known version.
   *
   * @returns its directory; nothing before the first one was read
   */
  get directory(): ConfigurationIndex | undefined {
    return this.current;
  }

  /**
   * Gives the age of the proof that the version is in force.
   *
   * @returns age. Unit: ms
   */
  get age(): number {
    return this.follower.age;
  }

  /**
   * Tells whether keys may be trusted.
   *
   * @returns whether no withdrawal can have come into force unseen
   */
  get canTrustKeys(): boolean {
    return this.age < MAX_KEY_TRUST_AGE_MS;
  }

  /**
   * Tells whether something unknown here may be called unknown.
   *
   * @returns whether the version is recent enough for 401 and 404
   */
  get isCurrent(): boolean {
    return this.age < MAX_CURRENT_AGE_MS;
  }
}
