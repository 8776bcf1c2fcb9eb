/** Chooses an agent for one request. */
import { rendezvousWeight } from './selectAgentSubset.js';
import type { AgentState } from './AgentState.js';

/** Extra delay of an agent in another failure domain, there and back. Unit: ms. */
const REMOTE_DOMAIN_PENALTY_MS = 10;

/** Longer wait that is accepted for a target that is likely to have the prompt prefix. Unit: ms. */
const MAX_AFFINITY_WAIT_MS = 15;

/** Gives a random number of at least 0 and below 1. */
export type Random = () => number;

/** What is chosen from and by. */
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

/** Takes two random candidates and gives the one with the lower expected wait. */
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
 * Chooses an agent: the better of two random ones of the own failure domain, another domain's when it is
 * ahead by more than the extra delay, and the likely holder of the prompt prefix while it has room.
 *
 * @param choice - agents and terms
 * @returns the agent, or nothing when there is none
 */
export const chooseAgent = (choice: AgentChoice): AgentState | undefined => {
  const { agents, failureDomain, promptPrefix, random } = choice;
  const own = agents.filter(({ member }) => member.failureDomain === failureDomain);
  const others = agents.filter(({ member }) => member.failureDomain !== failureDomain);
  const near = chooseBetterOfTwo(own, random);
  const far = chooseBetterOfTwo(others, random);
  if (!near) return far;
  const spills = far && far.expectedWaitMs() + REMOTE_DOMAIN_PENALTY_MS < near.expectedWaitMs();
  const best = spills ? far : near;
  if (promptPrefix === undefined) return best;
  const holder = findPrefixHolder(own, promptPrefix);
  const bounded =
    holder?.hasFreeCapacity() &&
    holder.expectedWaitMs() <= best.expectedWaitMs() + MAX_AFFINITY_WAIT_MS;
  return bounded ? holder : best;
};
