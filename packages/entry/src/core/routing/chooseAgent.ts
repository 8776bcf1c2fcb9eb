/** Chooses an agent for one request. */
import { rendezvousWeight } from './selectAgentSubset.js';
import type { AgentState } from './AgentState.js';

/** Additional round-trip time to an agent in another failure domain. Unit: ms. */
const REMOTE_DOMAIN_PENALTY_MS = 10;

/** Maximum additional wait that is accepted for a target that probably has cached the prompt prefix. Unit: ms. */
const MAX_AFFINITY_WAIT_MS = 15;

/** Returns a random number in the range [0, 1). */
export type Random = () => number;

/** Candidates and criteria of a choice. */
export interface AgentChoice {
  /** Usable agents. */
  readonly agents: readonly AgentState[];
  /** Failure domain of this entry host. */
  readonly failureDomain: string;
  readonly promptPrefix?: string | undefined;
  readonly random: Random;
}

const pickShorterWait = (left: AgentState, right: AgentState): AgentState =>
  right.expectedWaitMs() < left.expectedWaitMs() ? right : left;

/** Returns the one of two random agents that has the shorter expected wait. */
const chooseBetterOfTwo = (
  agents: readonly AgentState[],
  random: Random,
): AgentState | undefined => {
  if (agents.length < 2) return agents[0];
  const first = Math.floor(random() * agents.length);
  const step = 1 + Math.floor(random() * (agents.length - 1));
  const second = (first + step) % agents.length;
  return pickShorterWait(agents[first] as AgentState, agents[second] as AgentState);
};

const findPrefixHolder = (
  agents: readonly AgentState[],
  prefix: string,
): AgentState | undefined => {
  const weighted = agents.map((agent) => ({
    agent,
    weight: rendezvousWeight(prefix, agent.member.name),
  }));
  return weighted.sort((a, b) => b.weight - a.weight)[0]?.agent;
};

/**
 * Chooses an agent: the better of two random agents in the same failure domain. An agent in another failure
 * domain is chosen if its wait is shorter by more than the additional round-trip time. The agent that probably
 * has the prompt prefix is preferred while it has free capacity.
 *
 * @param choice - candidates and criteria
 * @returns the agent; undefined if there are no candidates
 */
export const chooseAgent = (choice: AgentChoice): AgentState | undefined => {
  const { agents, failureDomain, promptPrefix, random } = choice;
  const localAgents = agents.filter(({ member }) => member.failureDomain === failureDomain);
  const remoteAgents = agents.filter(({ member }) => member.failureDomain !== failureDomain);
  const bestLocal = chooseBetterOfTwo(localAgents, random);
  const bestRemote = chooseBetterOfTwo(remoteAgents, random);
  if (!bestLocal) return bestRemote;
  const prefersRemote =
    bestRemote &&
    bestRemote.expectedWaitMs() + REMOTE_DOMAIN_PENALTY_MS < bestLocal.expectedWaitMs();
  const best = prefersRemote ? bestRemote : bestLocal;
  if (promptPrefix === undefined) return best;
  const holder = findPrefixHolder(localAgents, promptPrefix);
  const prefersHolder =
    holder?.hasFreeCapacity() &&
    holder.expectedWaitMs() <= best.expectedWaitMs() + MAX_AFFINITY_WAIT_MS;
  return prefersHolder ? holder : best;
};
