/** How long the versions of streams are remembered, and those of targets that have left. */
import type { ServingConfiguration } from '../configuration/ServingConfiguration.js';

/** Minimum retention. Callers take a stream up again within some seconds. Unit: ms. */
const MIN_RETENTION_MS = 15_000;

/**
 * Retention beyond the longest stream: a host without the store may begin streams on targets that have left for some
 * seconds, and their callers take some more to return. Unit: ms.
 */
const RETENTION_MARGIN_MS = 10_000;

/** Derives the retention from the configuration. */
export class StreamRetention {
  /** Unit: ms. */
  ms = MIN_RETENTION_MS;

  /**
   * Applies a configuration.
   *
   * @param configuration - configuration in force
   */
  configure({ routes }: Pick<ServingConfiguration, 'routes'>): void {
    const longestMs = routes
      .filter(({ resumable }) => resumable)
      .reduce((longest, { timeoutMs }) => Math.max(longest, timeoutMs), 0);
    this.ms = Math.max(MIN_RETENTION_MS, longestMs + RETENTION_MARGIN_MS);
  }
}
