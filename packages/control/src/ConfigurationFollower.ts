/** The configuration follower, as used by the other components of a process. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  ConfigurationMode,
  ConfigurationState,
  ConfigurationWatchRequest,
} from '@jacinthlug/protocol/messages';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Configuration } from '@jacinthlug/settings/tree/configuration';
import type { Result } from 'neverthrow';

/** Follows the configuration and determines whether it may be used. */
export interface ConfigurationFollower {
  /**
   * Returns how fresh the configuration is at this time.
   *
   * @returns the mode
   */
  mode(): ConfigurationMode;

  /**
   * Returns the configuration for a decision that is made now. Call it for each decision; never keep
   * the result across an `await`.
   *
   * @returns the resolved configuration, or `configuration-unconfirmed`
   */
  inForce(): Result<ResolvedConfiguration, Refusal>;

  /**
   * Returns the highest version that this process holds, whether confirmed or not.
   *
   * @returns the resolved configuration; `undefined` before the first version
   */
  latest(): ResolvedConfiguration | undefined;

  /**
   * Checks whether this process may accept an edit: mode `confirmed`, and processes in more than half
   * of the failure domains responded within the last 3 s.
   *
   * @returns whether an edit may be accepted
   */
  mayAcceptEdits(): boolean;

  /**
   * Adopts a version that this process itself committed to the table.
   *
   * @param configuration - the committed version
   */
  adopt(configuration: Configuration): void;

  /**
   * Handles the request of a peer.
   *
   * @param request - versions that the peer holds
   * @returns the state; the response is held until there are changes or the hold time ends
   */
  handleWatch(request: ConfigurationWatchRequest): Promise<ConfigurationState>;

  /**
   * Calls a listener after each adoption of a higher version.
   *
   * @param listener - called with the adopted version
   * @returns a function that removes the listener
   */
  onAdopt(listener: (configuration: ResolvedConfiguration) => void): () => void;

  /**
   * Starts to follow; resolves when a first version is in force.
   *
   * @param signal - ends the wait
   */
  start(signal: AbortSignal): Promise<void>;

  /** Stops the background tasks. */
  stop(): Promise<void>;
}
