/** Tracks the load of the agents that this entry host sends requests to. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Member } from '@jacinthlug/protocol/members';
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Result } from 'neverthrow';
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import { AgentState } from './AgentState.js';
import { selectAgentSubset } from './selectAgentSubset.js';
import { chooseAgent, type Random } from './chooseAgent.js';

/** Age of the last report after which an agent is polled. Unit: ms. */
const MAX_REPORT_AGE_MS = 1000;

/** Interval between checks for agents to poll. Unit: ms. */
const POLL_INTERVAL_MS = 250;

/** Number of consecutive failed polls after which the circuit opens. A single poll may fail by chance. */
const OPEN_AFTER_MISSES = 2;

/**
 * Number of consecutive failed polls after which the requests at an agent are aborted. A failed host sends no
 * reset, so its connections would otherwise stay open until the deadlines of the requests.
 */
const LOST_AFTER_MISSES = 3;

/** Queries an agent for its load. */
export type LoadQuery = (address: string) => Promise<Result<TargetLoadReport, unknown>>;

/** Dependencies of {@link AgentTable}. */
export interface AgentTableDependencies {
  readonly name: string;
  readonly failureDomain: string;
  readonly subsetSize: number;
  readonly membership: Membership;
  readonly journal: Journal;
  readonly queryLoad: LoadQuery;
  readonly random: Random;
}

/** Requirements of a request for its agent. */
export interface AgentRequirements {
  readonly service: string;
  readonly model?: string | undefined;
  readonly promptPrefix?: string | undefined;
  /** Names of agents that already received the request. */
  readonly excludedAgents: ReadonlySet<string>;
  readonly configuration: ResolvedConfiguration;
}

interface Subset {
  readonly source: readonly Member[];
  readonly members: readonly Member[];
}

const getName = ({ name }: Member): string => name;

const haveSameMembers = (left: readonly Member[], right: readonly Member[]): boolean =>
  left.length === right.length &&
  left.every(({ name, address, failureDomain }, index) => {
    const other = right[index];
    return (
      name === other?.name && address === other.address && failureDomain === other.failureDomain
    );
  });

const isDrained = ({ member }: AgentState, configuration: ResolvedConfiguration): boolean => {
  const { failureDomains, services } = configuration;
  const isDomainDrained = failureDomains.get(member.failureDomain)?.settings.drained;
  const isServiceDrained = services.get(member.service ?? '')?.settings.drained;
  return (
    isDomainDrained === true || isServiceDrained === true || configuration.isDrained(member.name)
  );
};

/** Agents in the subsets of this entry host, with their load. */
export class AgentTable {
  private readonly states = new Map<string, AgentState>();

  private readonly subsets = new Map<string, Subset>();

  private readonly consecutiveMisses = new Map<string, number>();

  private readonly pendingPolls = new Set<string>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: AgentTableDependencies) {}

  /** Starts polling agents without a recent report. */
  start(): void {
    this.timer = setInterval(() => this.pollUnresponsive(), POLL_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops polling. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Chooses an agent for a request.
   *
   * @param requirements - requirements of the request
   * @returns the agent; undefined if none is usable
   */
  choose(requirements: AgentRequirements): AgentState | undefined {
    const now = performance.now();
    const usable = this.getSubset(requirements.service).filter(
      (agent) =>
        !requirements.excludedAgents.has(agent.member.name) &&
        !isDrained(agent, requirements.configuration) &&
        agent.isUsable(requirements.model, now),
    );
    return chooseAgent({
      agents: usable,
      failureDomain: this.dependencies.failureDomain,
      promptPrefix: requirements.promptPrefix,
      random: this.dependencies.random,
    });
  }

  /**
   * Applies a load report.
   *
   * @param agent - the agent
   * @param report - its load report
   */
  applyReport(agent: AgentState, report: TargetLoadReport): void {
    this.consecutiveMisses.delete(agent.member.name);
    agent.applyReport(report, performance.now());
  }

  /**
   * Records that an agent responded.
   *
   * @param agent - the agent
   */
  recordSuccess(agent: AgentState): void {
    if (agent.circuitBreaker.recordSuccess()) this.recordCircuit(agent, 'closed');
  }

  /**
   * Records that an agent could not be reached.
   *
   * @param agent - the agent
   */
  recordFailure(agent: AgentState): void {
    if (agent.circuitBreaker.recordFailure(performance.now())) this.recordCircuit(agent, 'open');
  }

  private recordCircuit(agent: AgentState, state: 'open' | 'closed'): void {
    this.dependencies.journal.record('target-circuit', { agent: agent.member.name, state });
  }

  private getSubset(service: string): AgentState[] {
    const source = this.dependencies.membership.liveAgents(service);
    const known = this.subsets.get(service);
    if (known && haveSameMembers(known.source, source))
      return known.members.map((member) => this.getState(member));
    const { name, failureDomain, subsetSize } = this.dependencies;
    const members = selectAgentSubset(name, failureDomain, source, subsetSize);
    this.subsets.set(service, { source: [...source], members });
    return members.map((member) => this.getState(member));
  }

  private getState(member: Member): AgentState {
    const known = this.states.get(member.name);
    if (known && known.member.address === member.address) return known;
    const state = new AgentState(member);
    this.states.set(member.name, state);
    return state;
  }

  private removeUnused(): void {
    const used = new Set([...this.subsets.values()].flatMap(({ members }) => members.map(getName)));
    this.states.forEach((agent, name) => {
      // An agent that left the subset is still polled while it has requests, because its host may have failed.
      if (used.has(name) || agent.runningAttempts.size > 0) return;
      this.states.delete(name);
      this.consecutiveMisses.delete(name);
    });
  }

  private pollUnresponsive(): void {
    const now = performance.now();
    this.removeUnused();
    this.states.forEach((agent) => {
      if (now - agent.lastReportAt < MAX_REPORT_AGE_MS || this.pendingPolls.has(agent.member.name))
        return;
      void this.poll(agent);
    });
  }

  private async poll(agent: AgentState): Promise<void> {
    const { name, address } = agent.member;
    this.pendingPolls.add(name);
    const response = await this.dependencies.queryLoad(address);
    this.pendingPolls.delete(name);
    if (response.isOk()) {
      this.applyReport(agent, response.value);
      this.recordSuccess(agent);
      return;
    }
    const misses = (this.consecutiveMisses.get(name) ?? 0) + 1;
    this.consecutiveMisses.set(name, misses);
    if (misses >= OPEN_AFTER_MISSES) this.recordFailure(agent);
    if (misses < LOST_AFTER_MISSES) return;
    agent.runningAttempts.forEach((controller) =>
      controller.abort(new Abandoned({ kind: 'agent-silent' })),
    );
  }
}
