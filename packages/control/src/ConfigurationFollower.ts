/** What the rest of a process needs from the follower of the configuration. */
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  ConfigurationMode,
  ConfigurationState,
  ConfigurationWatchRequest,
} from '@jacinthlug/protocol/messages';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Configuration } from '@jacinthlug/settings/tree/configuration';
import type { Result } from 'neverthrow';

/** Follows the configuration and tells whether it may be acted on. */
export interface ConfigurationFollower {
  /**
   * Tells how fresh the configuration is, at this moment.
   *
   * @returns the mode
   */
  mode(): ConfigurationMode;

  /**
   * Gives the configuration for a decision that is made now. Call it for each decision; never keep
   * the result across an await.
   *
   * @returns the lookups, or `configuration-unconfirmed`
   */
  inForce(): Result<ResolvedConfiguration, Refusal>;

  /**
   * Gives the highest version seen, whether confirmed or not.
   *
   * @returns the lookups; nothing before the first version
   */
  latest(): ResolvedConfiguration | undefined;

  /**
   * Tells whether this process may accept an edit: mode `confirmed`, and processes in more than half
   * of the failure domains answered within the last 3 s.
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
   * Answers a peer.
   *
   * @param question - what the peer holds
   * @returns the state, held until the version grows or the hold ends
   */
  handleWatch(question: ConfigurationWatchRequest): Promise<ConfigurationState>;

  /**
   * Calls a listener after each adoption of a higher version.
   *
   * @param listener - gets the lookups on the adopted version
   * @returns a function that removes the listener
   */
  onAdopt(listener: (catalogue: ResolvedConfiguration) => void): () => void;

  /**
   * Starts following; resolves when a first version is in force.
   *
   * @param signal - ends the waiting
   */
  start(signal: AbortSignal): Promise<void>;

  /** Stops the tasks of the follower. */
  stop(): Promise<void>;
}
