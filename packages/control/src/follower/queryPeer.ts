/** Queries one peer for its configuration. */
import type { Member } from '@jacinthlug/protocol/members';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';

/** Maximum time for which a response is held. Unit: ms. */
export const MAX_HOLD_MS = 700;

/** Timeout for a response, in addition to its hold. Unit: ms. */
export const RESPONSE_TIMEOUT_MS = 500;

/** Options of a query. */
export interface PeerQuery {
  readonly holdMs: number;
  /** Whether to replace the own member list by the one of the peer. */
  readonly includeMembers: boolean;
}

/** Queries the current state, without a hold. */
export const immediateQuery: PeerQuery = { holdMs: 0, includeMembers: false };

/**
 * Queries a peer and applies its response.
 *
 * @param dependencies - peers, and where to store the response
 * @param held - the held configuration
 * @param peer - the peer
 * @param query - options of the query
 * @returns whether the peer responded
 */
export const queryPeer = async (
  { self, peers, clock, membership, suspects }: FollowerDependencies,
  held: HeldConfiguration,
  peer: Member,
  { holdMs, includeMembers }: PeerQuery,
): Promise<boolean> => {
  const calledAt = clock.now();
  const digest = membership.digest();
  const request = {
    asker: self.name,
    version: held.version(),
    suspectsVersion: suspects.version(),
    ...(includeMembers || digest === '' ? { membersDigest: digest } : {}),
    holdMs,
  };
  const response = await peers.watch(peer.address, request, holdMs + RESPONSE_TIMEOUT_MS);
  if (response.isErr()) return false;
  held.applyResponse(peer, calledAt, response.value);
  if (response.value.members) membership.update(response.value.members);
  if (response.value.suspects)
    suspects.merge(response.value.suspectsVersion, response.value.suspects);
  return true;
};
