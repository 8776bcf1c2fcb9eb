/** Asks processes of all failure domains, for evidence of an outage or of a majority. */
import type { Member } from '@jacinthlug/protocol/members';
import { immediateQuery, queryPeer } from './queryPeer.js';
import type { HeldConfiguration } from './createHeldConfiguration.js';
import type { FollowerDependencies } from './FollowerDependencies.js';

/** Age of the proof from which evidence is sought; followers two hops deep stay below. Unit: ms. */
const EVIDENCE_MIN_PROOF_AGE_MS = 2200;

/** Time between rounds, so that evidence survives three lost rounds. Unit: ms. */
const EVIDENCE_ROUND_INTERVAL_MS = 600;

/** Peers asked in a round in a fleet of one failure domain, where each process counts. */
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
  const mixed = shuffle(others, random);
  const oneOfEach = new Map(mixed.map((member) => [member.failureDomain, member]));
  const isSingle = new Set([self.failureDomain, ...oneOfEach.keys()]).size === 1;
  return isSingle ? mixed.slice(0, MAX_PEERS_IN_SINGLE_DOMAIN) : [...oneOfEach.values()];
};

/**
 * Asks one random process of each failure domain.
 *
 * @param parts - peers and where to keep the answers
 * @param held - the held configuration
 */
export const queryDomains = async (
  parts: FollowerDependencies,
  held: HeldConfiguration,
): Promise<void> => {
  await Promise.all(choosePeers(parts).map((peer) => queryPeer(parts, held, peer, immediateQuery)));
};

/**
 * Seeks evidence in rounds while the proof is old, until the signal is aborted.
 *
 * @param parts - peers and where to keep the answers
 * @param held - the held configuration
 * @param signal - ends the task
 */
export const collectEvidence = async (
  parts: FollowerDependencies,
  held: HeldConfiguration,
  signal: AbortSignal,
): Promise<void> => {
  while (!signal.aborted) {
    if ((held.proofAge() ?? Infinity) > EVIDENCE_MIN_PROOF_AGE_MS) await queryDomains(parts, held);
    held.mode();
    await parts.clock.sleep(EVIDENCE_ROUND_INTERVAL_MS, signal);
  }
};
