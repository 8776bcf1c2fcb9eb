/** Selects the agents of a service whose load an entry host tracks. */
import { createHash } from 'node:crypto';
import type { Member } from '@jacinthlug/protocol/members';

/** Fraction of the subset that is reserved for agents in other failure domains. */
const REMOTE_DOMAIN_FRACTION = 1 / 4;

/**
 * Computes the weight of a pair of names for rendezvous hashing.
 *
 * @param left - name of one side
 * @param right - name of the other side
 * @returns the weight; the pair with the highest weight wins
 */
export const rendezvousWeight = (left: string, right: string): number =>
  createHash('sha256').update(`${left}\n${right}`).digest().readUIntBE(0, 6);

const rankByWeight = (owner: string, agents: readonly Member[]): Member[] =>
  agents
    .map((agent) => ({ agent, weight: rendezvousWeight(owner, agent.name) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ agent }) => agent);

/**
 * Selects a subset by rendezvous hashing. Prefers agents in the same failure domain, but reserves a fraction of
 * the subset for other failure domains.
 *
 * @param owner - name of the entry host
 * @param failureDomain - failure domain of the entry host
 * @param agents - live agents of the service
 * @param size - maximum size of the subset
 * @returns the subset
 */
export const selectAgentSubset = (
  owner: string,
  failureDomain: string,
  agents: readonly Member[],
  size: number,
): Member[] => {
  if (agents.length <= size) return [...agents];
  const local = rankByWeight(
    owner,
    agents.filter((agent) => agent.failureDomain === failureDomain),
  );
  const remote = rankByWeight(
    owner,
    agents.filter((agent) => agent.failureDomain !== failureDomain),
  );
  const remoteCount = Math.min(remote.length, Math.ceil(size * REMOTE_DOMAIN_FRACTION));
  const localCount = Math.min(local.length, size - remoteCount);
  return [...local.slice(0, localCount), ...remote.slice(0, size - localCount)];
};
