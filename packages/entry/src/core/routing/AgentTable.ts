/** Keeps the load of the agents that this entry host sends to. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Member } from '@jacinthlug/protocol/members';
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { Result } from 'neverthrow';
import { Abandoned } from '../forwarding/Attempt.js';
import { AgentState } from './AgentState.js';
import { agentSubset } from './agentSubset.js';
import { chooseAgent, type Random } from './chooseAgent.js';

/** Time without a report after which an agent is asked. Unit: ms. */
const SILENT_AFTER_MS = 1000;

/** Time between looks for silent agents. Unit: ms. */
const POLL_PERIOD_MS = 250;

/** Unanswered questions in a row after which the circuit opens; one may be lost by chance. */
const OPEN_AFTER_MISSES = 2;

/**
 * Unanswered questions in a row after which the requests at an agent are given up. A lost host sends no
 * reset, so its connections would stay open until the deadlines.
 */
const LOST_AFTER_MISSES = 3;

/** Asks an agent for its load. */
export type LoadQuestion = (address: string) => Promise<Result<TargetLoadReport, unknown>>;

/** What the table needs. */
export interface AgentTableNeeds {
  readonly name: string;
  readonly failureDomain: string;
  readonly subsetSize: number;
  readonly membership: Membership;
  readonly journal: Journal;
  readonly askLoad: LoadQuestion;
  readonly random: Random;
}

/** What a request needs of an agent. */
export interface AgentNeeds {
  readonly service: string;
  readonly model?: string | undefined;
  readonly promptPrefix?: string | undefined;
  /** Names of agents that had the request already. */
  readonly excluded: ReadonlySet<string>;
  readonly catalogue: ResolvedConfiguration;
}

interface Subset {
  readonly source: readonly Member[];
  readonly members: readonly Member[];
}

const nameOf = ({ name }: Member): string => name;

const isSameList = (left: readonly Member[], right: readonly Member[]): boolean =>
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

  private readonly misses = new Map<string, number>();

  private readonly asked = new Set<string>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly needs: AgentTableNeeds) {}

  /** Starts asking silent agents. */
  start(): void {
    this.timer = setInterval(() => this.askSilent(), POLL_PERIOD_MS);
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
  choose(needs: AgentNeeds): AgentState | undefined {
    const now = performance.now();
    const usable = this.subsetOf(needs.service).filter(
      (agent) =>
        !needs.excluded.has(agent.member.name) &&
        !isDrained(agent, needs.catalogue) &&
        agent.isUsable(needs.model, now),
    );
    return chooseAgent({
      agents: usable,
      failureDomain: this.needs.failureDomain,
      promptPrefix: needs.promptPrefix,
      random: this.needs.random,
    });
  }

  /**
   * Takes over a load report.
   *
   * @param agent - the agent that reports
   * @param report - its load
   */
  hear(agent: AgentState, report: TargetLoadReport): void {
    this.misses.delete(agent.member.name);
    agent.hear(report, performance.now());
  }

  /**
   * Notes that an agent answered.
   *
   * @param agent - the agent
   */
  succeed(agent: AgentState): void {
    if (agent.circuit.succeed()) this.recordCircuit(agent, 'closed');
  }

  /**
   * Notes that an agent could not be reached.
   *
   * @param agent - the agent
   */
  fail(agent: AgentState): void {
    if (agent.circuit.fail(performance.now())) this.recordCircuit(agent, 'open');
  }

  private recordCircuit(agent: AgentState, state: 'open' | 'closed'): void {
    this.needs.journal.record('target-circuit', { agent: agent.member.name, state });
  }

  private subsetOf(service: string): AgentState[] {
    const source = this.needs.membership.liveAgents(service);
    const known = this.subsets.get(service);
    if (known && isSameList(known.source, source)) return known.members.map((m) => this.stateOf(m));
    const { name, failureDomain, subsetSize } = this.needs;
    const members = agentSubset(name, failureDomain, source, subsetSize);
    this.subsets.set(service, { source: [...source], members });
    return members.map((member) => this.stateOf(member));
  }

  private stateOf(member: Member): AgentState {
    const known = this.states.get(member.name);
    if (known && known.member.address === member.address) return known;
    const state = new AgentState(member);
    this.states.set(member.name, state);
    return state;
  }

  private forgetUnused(): void {
    const used = new Set([...this.subsets.values()].flatMap(({ members }) => members.map(nameOf)));
    this.states.forEach((agent, name) => {
      // An agent that left the list is asked as long as it has requests: its host may be lost.
      if (used.has(name) || agent.running.size > 0) return;
      this.states.delete(name);
      this.misses.delete(name);
    });
  }

  private askSilent(): void {
    const now = performance.now();
    this.forgetUnused();
    this.states.forEach((agent) => {
      if (now - agent.heardAt < SILENT_AFTER_MS || this.asked.has(agent.member.name)) return;
      void this.ask(agent);
    });
  }

  private async ask(agent: AgentState): Promise<void> {
    const { name, address } = agent.member;
    this.asked.add(name);
    const answer = await this.needs.askLoad(address);
    this.asked.delete(name);
    if (answer.isOk()) {
      this.hear(agent, answer.value);
      this.succeed(agent);
      return;
    }
    const misses = (this.misses.get(name) ?? 0) + 1;
    this.misses.set(name, misses);
    if (misses >= OPEN_AFTER_MISSES) this.fail(agent);
    if (misses < LOST_AFTER_MISSES) return;
    agent.running.forEach((attempt) => attempt.abort(new Abandoned({ kind: 'agent-silent' })));
  }
}
