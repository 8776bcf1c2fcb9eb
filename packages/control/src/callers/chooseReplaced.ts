/** Choice of the connection that is closed for a new one when a host has as many connections as it can hold. */

/** What the choice depends on. */
export interface ReplaceableConnection {
  /** Whether a complete request waits for the end of its response. */
  readonly isServing: boolean;
  /** Whether a complete request has been received. */
  readonly hasHadRequest: boolean;
  /** Monotonic time of the latest bytes from the caller. Unit: ms. */
  readonly receivedAt: number;
}

/** Compares two connections: first those that have had no complete request, then those that have been silent for longer. */
const isReplacedBefore = (a: ReplaceableConnection, b: ReplaceableConnection): boolean =>
  a.hasHadRequest === b.hasHadRequest ? a.receivedAt < b.receivedAt : !a.hasHadRequest;

/**
 * Chooses the connection that makes room for a new one.
 *
 * @param connections - open connections
 * @returns the connection; undefined if each one serves a request
 */
export const chooseReplaced = <Connection extends ReplaceableConnection>(
  connections: Iterable<Connection>,
): Connection | undefined => {
  let chosen: Connection | undefined;
  for (const connection of connections)
    if (!connection.isServing && (!chosen || isReplacedBefore(connection, chosen)))
      chosen = connection;
  return chosen;
};
