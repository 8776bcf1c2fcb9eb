/** Asks one peer for its configuration. */
import type { Member } from '@jacinthlug/protocol/members';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';

/** Longest time that an answer is held. Unit: ms. */
export const MAX_HOLD_MS = 700;

/** Time for an answer past its hold. Unit: ms. */
export const RESPONSE_TIMEOUT_MS = 500;

/** What to ask for. */
export interface PeerQuery {
  readonly holdMs: number;
  /** Whether the member list of the peer replaces the own one. */
  readonly includeMembers: boolean;
}

/** Asks for the present state, without a hold. */
export const immediateQuery: PeerQuery = { holdMs: 0, includeMembers: false };

/**
 * Asks a peer and takes in what it tells.
 *
 * @param parts - peers and where to keep the answer
 * @param held - the held configuration
 * @param peer - the peer
 * @param ask - what to ask for
 * @returns whether the peer answered
 */
export const queryPeer = async (
  { self, peers, clock, membership, suspects }: FollowerDependencies,
  held: HeldConfiguration,
  peer: Member,
  { holdMs, includeMembers: wantsMembers }: PeerQuery,
): Promise<boolean> => {
  const calledAt = clock.now();
  const digest = membership.digest();
  const question = {
    asker: self.name,
    version: held.version(),
    suspectsVersion: suspects.version(),
    ...(wantsMembers || digest === '' ? { membersDigest: digest } : {}),
    holdMs,
  };
  const answer = await peers.watch(peer.address, question, holdMs + RESPONSE_TIMEOUT_MS);
  if (answer.isErr()) return false;
  held.applyResponse(peer, calledAt, answer.value);
  if (answer.value.members) membership.update(answer.value.members);
  if (answer.value.suspects) suspects.merge(answer.value.suspectsVersion, answer.value.suspects);
  return true;
};
