/** Keeps the load of the agents that this entry host sends to. */
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

/** Time without a report after which an agent is asked. Unit: ms. */
const MAX_REPORT_AGE_MS = 1000;

/** Time between looks for silent agents. Unit: ms. */
const POLL_INTERVAL_MS = 250;

/** Unanswered questions in a row after which the circuit opens; one may be lost by chance. */
const OPEN_AFTER_MISSES = 2;

/**
 * Unanswered questions in a row after which the requests at an agent are given up. A lost host sends no
 * reset, so its connections would stay open until the deadlines.
 */
const LOST_AFTER_MISSES = 3;

/** Asks an agent for its load. */
export type LoadQuery = (address: string) => Promise<Result<TargetLoadReport, unknown>>;

/** What the table needs. */
export interface AgentTableDependencies {
  readonly name: string;
  readonly failureDomain: string;
  readonly subsetSize: number;
  readonly membership: Membership;
  readonly journal: Journal;
  readonly queryLoad: LoadQuery;
  readonly random: Random;
}

/** What a request needs of an agent. */
export interface AgentRequirements {
  readonly service: string;
  readonly model?: string | undefined;
  readonly promptPrefix?: string | undefined;
  /** Names of agents that had the request already. */
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

const isDrained = ({ member }: AgentState, catalogue: ResolvedConfiguration): boolean => {
  const { failureDomains, services } = catalogue;
  const inDomain = failureDomains.get(member.failureDomain)?.settings.drained;
  const inService = services.get(member.service ?? '')?.settings.drained;
  return inDomain === true || inService === true || catalogue.isDrained(member.name);
};

/** The agents of this entry host's subsets and their load. */
export class AgentTable {
  private readonly states = new Map<string, AgentState>();

  private readonly subsets = new Map<string, Subset>();

  private readonly consecutiveMisses = new Map<string, number>();

  private readonly pendingPolls = new Set<string>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: AgentTableDependencies) {}

  /** Starts asking silent agents. */
  start(): void {
    this.timer = setInterval(() => this.pollUnresponsive(), POLL_INTERVAL_MS);
    this.timer.unref();
  }

  /** Stops asking. */
  stop(): void {
    clearInterval(this.timer);
  }

  /**
   * Chooses an agent for a request.
   *
   * @param needs - what the request needs
   * @returns the agent, or nothing when none is usable
   */
  choose(needs: AgentRequirements): AgentState | undefined {
    const now = performance.now();
    const usable = this.getSubset(needs.service).filter(
      (agent) =>
        !needs.excludedAgents.has(agent.member.name) &&
        !isDrained(agent, needs.configuration) &&
        agent.isUsable(needs.model, now),
    );
    return chooseAgent({
      agents: usable,
      failureDomain: this.dependencies.failureDomain,
      promptPrefix: needs.promptPrefix,
      random: this.dependencies.random,
    });
  }

  /**
   * Takes over a load report.
   *
   * @param agent - the agent that reports
   * @param report - its load
   */
  applyReport(agent: AgentState, report: TargetLoadReport): void {
    this.consecutiveMisses.delete(agent.member.name);
    agent.applyReport(report, performance.now());
  }

  /**
   * Notes that an agent answered.
   *
   * @param agent - the agent
   */
  recordSuccess(agent: AgentState): void {
    if (agent.circuitBreaker.recordSuccess()) this.recordCircuit(agent, 'closed');
  }

  /**
   * Notes that an agent could not be reached.
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
      return known.members.map((m) => this.getState(m));
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
      // An agent that left the list is asked as long as it has requests: its host may be lost.
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
    const answer = await this.dependencies.queryLoad(address);
    this.pendingPolls.delete(name);
    if (answer.isOk()) {
      this.applyReport(agent, answer.value);
      this.recordSuccess(agent);
      return;
    }
    const misses = (this.consecutiveMisses.get(name) ?? 0) + 1;
    this.consecutiveMisses.set(name, misses);
    if (misses >= OPEN_AFTER_MISSES) this.recordFailure(agent);
    if (misses < LOST_AFTER_MISSES) return;
    agent.runningAttempts.forEach((attempt) =>
      attempt.abort(new Abandoned({ kind: 'agent-silent' })),
    );
  }
}
