/** Chooses the agents of a service that one entry host keeps load knowledge of. */
import { createHash } from 'node:crypto';
import type { Member } from '@jacinthlug/protocol/members';

/** Part of the subset that other failure domains get when the own one could fill it. */
const REMOTE_DOMAIN_FRACTION = 1 / 4;

/**
 * Computes the weight of a pair for rendezvous hashing.
 *
 * @param left - name of one side
 * @param right - name of the other side
 * @returns the weight; the highest is chosen
 */
export const rendezvousWeight = (left: string, right: string): number =>
  createHash('sha256').update(`${left}\n${right}`).digest().readUIntBE(0, 6);

const rankByWeight = (owner: string, agents: readonly Member[]): Member[] =>
  agents
    .map((agent) => ({ agent, weight: rendezvousWeight(owner, agent.name) }))
    .sort((a, b) => b.weight - a.weight)
    .map(({ agent }) => agent);

/**
 * Chooses a subset by rendezvous hash: own failure domain first, a part left to the others.
 *
 * @param owner - name of the entry host
 * @param failureDomain - failure domain of the entry host
 * @param agents - live agents of the service
 * @param size - largest subset
 * @returns the subset
 */
export const selectAgentSubset = (
  owner: string,
  failureDomain: string,
  agents: readonly Member[],
  size: number,
): Member[] => {
  if (agents.length <= size) return [...agents];
  const own = rankByWeight(
    owner,
    agents.filter((agent) => agent.failureDomain === failureDomain),
  );
  const others = rankByWeight(
    owner,
    agents.filter((agent) => agent.failureDomain !== failureDomain),
  );
  const forOthers = Math.min(others.length, Math.ceil(size * REMOTE_DOMAIN_FRACTION));
  const fromOwn = Math.min(own.length, size - forOthers);
  return [...own.slice(0, fromOwn), ...others.slice(0, size - fromOwn)];
};
