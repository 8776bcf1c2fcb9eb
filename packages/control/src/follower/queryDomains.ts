/** Queries processes of all failure domains, for evidence of an outage or of a majority. */
import type { Member } from '@jacinthlug/protocol/members';
import { immediateQuery, queryPeer } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';

/** Age of the proof from which evidence is collected; followers two levels deep stay below it. Unit: ms. */
const EVIDENCE_MIN_PROOF_AGE_MS = 2200;

/** Time between rounds: evidence remains valid if three rounds are lost. Unit: ms. */
const EVIDENCE_ROUND_INTERVAL_MS = 600;

/** Maximum number of peers in a round in a fleet of one failure domain, where each process counts. */
const MAX_PEERS_IN_SINGLE_DOMAIN = 32;

const shuffle = <Item>(items: readonly Item[], random: () => number): Item[] =>
  items
    .map((item) => ({ item, at: random() }))
    .sort((left, right) => left.at - right.at)
    .map(({ item }) => item);

const choosePeers = ({
  self,
  membership,
  random = Math.random,
}: FollowerDependencies): Member[] => {
  const others = membership
    .all()
    .filter(({ name, state }) => name !== self.name && state === 'live');
  const shuffled = shuffle(others, random);
  const peerByDomain = new Map(shuffled.map((member) => [member.failureDomain, member]));
  const isSingle = new Set([self.failureDomain, ...peerByDomain.keys()]).size === 1;
  return isSingle ? shuffled.slice(0, MAX_PEERS_IN_SINGLE_DOMAIN) : [...peerByDomain.values()];
};

/**
 * Queries one random process of each failure domain.
 *
 * @param dependencies - peers, and where to store their responses
 * @param held - the held configuration
 */
export const queryDomains = async (
  dependencies: FollowerDependencies,
  held: HeldConfiguration,
): Promise<void> => {
  await Promise.all(
    choosePeers(dependencies).map((peer) => queryPeer(dependencies, held, peer, immediateQuery)),
  );
};

/**
 * Collects evidence in rounds while the proof is old, until the signal is aborted.
 *
 * @param dependencies - peers, and where to store their responses
 * @param held - the held configuration
 * @param signal - ends the task
 */
export const collectEvidence = async (
  dependencies: FollowerDependencies,
  held: HeldConfiguration,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    if ((held.proofAge() ?? Infinity) > EVIDENCE_MIN_PROOF_AGE_MS)
      await queryDomains(dependencies, held);
    held.mode();
    await dependencies.clock.sleep(EVIDENCE_ROUND_INTERVAL_MS, signal);
  }
};
