/** A fleet of simulated processes with a network that loses and delays messages. */
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Member } from '@jacinthlug/protocol/members';
import type { PeerFailure } from '@jacinthlug/protocol/controlClient';
import { err, errAsync, ok, okAsync, type Result } from 'neverthrow';
import { createEditor, type Editor } from '../../src/edits/createEditor.js';
import { createFollower, type Follower } from '../../src/follower/createFollower.js';
import {
  createMembership,
  type ReplicatedMembership,
} from '../../src/membership/createMembership.js';
import type { PeerClient } from '../../src/peers/PeerClient.js';
import { createRateShares } from '../../src/rates/createRateShares.js';
import type { RateShares } from '../../src/RateShares.js';
import {
  createSuspectList,
  type ReplicatedSuspectList,
} from '../../src/suspects/createSuspectList.js';
import { FakeTable } from './FakeTable.js';
import { Simulation, type PausableClock } from './Simulation.js';

/** A simulated process. */
export interface Host {
  readonly member: Member;
  readonly clock: PausableClock;
  readonly follower: Follower;
  readonly membership: ReplicatedMembership;
  readonly suspects: ReplicatedSuspectList;
  readonly editor: Editor;
  readonly rates: RateShares;
  /** Versions in the order of their adoption. */
  readonly adopted: number[];
  /** Names of logged events. */
  readonly events: string[];
  isPaused: boolean;
}

/** Calls that a host serves. */
type PeerHandler<Answer> = (host: Host) => Promise<Answer>;

/** Slowest and fastest transfer between two hosts. Unit: ms. */
const TRANSFER_DELAY_MS = [2, 8] as const;

/** A simulated fleet. */
export class Fleet {
  readonly simulation: Simulation;

  readonly table: FakeTable;

  readonly hosts = new Map<string, Host>();

  /** Hosts as the host list tells them; a crashed host stays until it is removed. */
  readonly listed = new Map<string, Member>();

  /** Names of hosts that no peer reaches and that reach no peer. */
  readonly cutOff = new Set<string>();

  /** Names of hosts whose questions arrive, but that get no answers. */
  readonly withoutResponses = new Set<string>();

  isHostListDown = false;

  /** Probability that a message is lost. */
  lossProbability = 0;

  /** Probability that a message is late by up to 3 s. */
  delayProbability = 0;

  #starts = 0;

  /**
   * Creates a fleet without hosts.
   *
   * @param seed - seed of the delays and losses
   * @param hasRates - whether the hosts keep rate shares, which costs most of the events
   */
  constructor(
    seed: number,
    private readonly hasRates = false,
  ) {
    this.simulation = new Simulation(seed);
    this.table = new FakeTable(this.simulation);
  }

  /** Starts a host; a crashed one of the same name is replaced. */
  start(name: string, failureDomain: string): Host {
    const member: Member = {
      name,
      role: 'entry',
      address: `${name}:1`,
      failureDomain,
      region: 'north',
      state: 'live',
    };
    this.listed.set(name, member);
    const host = this.#create(member);
    this.hosts.set(name, host);
    host.follower.onAdopt(({ version }) => host.adopted.push(version));
    void host.follower.start(new AbortController().signal);
    if (this.hasRates) host.rates.start();
    return host;
  }

  /** Ends a host without notice. */
  crash(name: string): void {
    this.host(name).clock.kill();
    this.hosts.delete(name);
  }

  pause(name: string): void {
    const host = this.host(name);
    host.isPaused = true;
    host.clock.pause();
  }

  resume(name: string): void {
    const host = this.host(name);
    host.isPaused = false;
    host.clock.resume();
  }

  host(name: string): Host {
    const host = this.hosts.get(name);
    if (!host) throw new Error(`no host "${name}"`);
    return host;
  }

  run(ms: number): Promise<void> {
    return this.simulation.run(ms);
  }

  #create(member: Member): Host {
    const { simulation } = this;
    this.#starts += 1;
    const clock = simulation.createClock();
    const events: string[] = [];
    const journal: Journal = {
      record(name) {
        events.push(name);
      },
    };
    const membership = createMembership(journal);
    const table = this.table.open(member.name, clock);
    const wallNow = (): number => simulation.now;
    const suspects = createSuspectList({ table, clock, wallNow });
    const hostList: HostList = {
      list: () =>
        this.isHostListDown ? errAsync({ message: 'down' }) : okAsync([...this.listed.values()]),
    };
    const peers = this.#peersOf(member.name, clock);
    const metrics = openMetrics(member.name);
    const { random } = simulation;
    const parts = { self: member, table, hostList, membership, suspects, peers, clock, journal };
    const follower = createFollower({ ...parts, metrics, random });
    const incarnation = `${member.name}#${this.#starts}`;
    return {
      member,
      clock,
      follower,
      membership,
      suspects,
      editor: createEditor({ table, follower, clock, journal, wallNow }),
      rates: createRateShares({ ...parts, incarnation, follower, metrics }),
      adopted: [],
      events,
      isPaused: false,
    };
  }

  #peersOf(from: string, clock: PausableClock): PeerClient {
    const call = <Answer>(address: string, limitMs: number, serve: PeerHandler<Answer>) =>
      this.#call(from, clock, address, limitMs, serve);
    return {
      watch: (address, question, limitMs) =>
        call(address, limitMs, ({ follower }) => follower.handleWatch(question)),
      share: (address, question, limitMs) =>
        call(address, limitMs, ({ rates }) => rates.handleRequest(question)),
    };
  }

  /** Carries a message, unless it is lost on the way. */
  async #transfer(from: string, to: string): Promise<boolean> {
    const { simulation } = this;
    const [fastest, slowest] = TRANSFER_DELAY_MS;
    const isLate = simulation.random() < this.delayProbability;
    const isLost = simulation.random() < this.lossProbability;
    const late = isLate ? simulation.random() * 3000 : 0;
    await simulation.delay(fastest + simulation.random() * (slowest - fastest) + late);
    return !isLost && !this.cutOff.has(from) && !this.cutOff.has(to);
  }

  async #call<Answer>(
    from: string,
    clock: PausableClock,
    address: string,
    limitMs: number,
    serve: PeerHandler<Answer>,
  ): Promise<Result<Answer, PeerFailure>> {
    const to = address.split(':')[0] ?? '';
    const target = this.hosts.get(to);
    const deliver = async (): Promise<Result<Answer, PeerFailure> | undefined> => {
      if (!(await this.#transfer(from, to)) || !target) return undefined;
      // A paused process serves when it wakes; a dead one never does.
      await target.clock.sleep(0);
      if (this.hosts.get(to) !== target) return undefined;
      const answer = structuredClone(await serve(target));
      await target.clock.sleep(0);
      const arrives = await this.#transfer(to, from);
      return arrives && !this.withoutResponses.has(from) ? ok(answer) : undefined;
    };
    const limit = clock.sleep(limitMs).then(() => undefined);
    const answer = await Promise.race([deliver().then((found) => found ?? limit), limit]);
    await clock.sleep(0);
    return answer ?? err({ kind: 'unreachable', message: 'no answer' });
  }
}
