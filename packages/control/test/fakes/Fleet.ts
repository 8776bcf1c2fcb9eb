/** Simulated fleet whose network can lose and delay messages. */
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
  /** Adopted versions, in order of adoption. */
  readonly adopted: number[];
  /** Names of recorded journal events. */
  readonly events: string[];
  isPaused: boolean;
}

/** Handles a call on the called host. */
type PeerHandler<Value> = (host: Host) => Promise<Value>;

/** Minimum and maximum transfer time between two hosts. Unit: ms. */
const TRANSFER_DELAY_MS = [2, 8] as const;

/** A simulated fleet. */
export class Fleet {
  readonly simulation: Simulation;

  readonly table: FakeTable;

  readonly hosts = new Map<string, Host>();

  /** Hosts in the host list; a crashed host stays until it is removed. */
  readonly listed = new Map<string, Member>();

  /** Names of hosts whose connections to all peers are down. */
  readonly disconnected = new Set<string>();

  /** Names of hosts whose requests arrive, but that receive no responses. */
  readonly withoutResponses = new Set<string>();

  isHostListDown = false;

  /** Probability that a message is lost. */
  lossProbability = 0;

  /** Probability that a message is delayed by up to 3 s. */
  delayProbability = 0;

  #starts = 0;

  /**
   * Creates a fleet without hosts.
   *
   * @param seed - seed of the delays and losses
   * @param hasRates - whether the hosts run rate shares, which cause most of the simulated events
   */
  constructor(
    seed: number,
    private readonly hasRates = false,
  ) {
    this.simulation = new Simulation(seed);
    this.table = new FakeTable(this.simulation);
  }

  /** Starts a host; replaces a crashed host of the same name. */
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

  /** Ends a host without a shutdown. */
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
    const peers = this.#createPeers(member.name, clock);
    const metrics = openMetrics(member.name);
    const { random } = simulation;
    const dependencies = {
      self: member,
      table,
      hostList,
      membership,
      suspects,
      peers,
      clock,
      journal,
    };
    const follower = createFollower({ ...dependencies, metrics, random });
    const incarnation = `${member.name}#${this.#starts}`;
    return {
      member,
      clock,
      follower,
      membership,
      suspects,
      editor: createEditor({ table, follower, clock, journal, wallNow }),
      rates: createRateShares({ ...dependencies, incarnation, follower, metrics }),
      adopted: [],
      events,
      isPaused: false,
    };
  }

  #createPeers(from: string, clock: PausableClock): PeerClient {
    const call = <Value>(address: string, timeoutMs: number, handle: PeerHandler<Value>) =>
      this.#call(from, clock, address, timeoutMs, handle);
    return {
      watch: (address, request, timeoutMs) =>
        call(address, timeoutMs, ({ follower }) => follower.handleWatch(request)),
      share: (address, request, timeoutMs) =>
        call(address, timeoutMs, ({ rates }) => rates.handleRequest(request)),
    };
  }

  /** Transfers a message; returns whether it arrives. */
  async #transfer(from: string, to: string): Promise<boolean> {
    const { simulation } = this;
    const [fastest, slowest] = TRANSFER_DELAY_MS;
    const isLate = simulation.random() < this.delayProbability;
    const isLost = simulation.random() < this.lossProbability;
    const delayMs = isLate ? simulation.random() * 3000 : 0;
    await simulation.delay(fastest + simulation.random() * (slowest - fastest) + delayMs);
    return !isLost && !this.disconnected.has(from) && !this.disconnected.has(to);
  }

  async #call<Value>(
    from: string,
    clock: PausableClock,
    address: string,
    timeoutMs: number,
    handle: PeerHandler<Value>,
  ): Promise<Result<Value, PeerFailure>> {
    const to = address.split(':')[0] ?? '';
    const target = this.hosts.get(to);
    const deliver = async (): Promise<Result<Value, PeerFailure> | undefined> => {
      if (!(await this.#transfer(from, to)) || !target) return undefined;
      // A paused process serves the call after it resumes; a crashed one never does.
      await target.clock.sleep(0);
      if (this.hosts.get(to) !== target) return undefined;
      const response = structuredClone(await handle(target));
      await target.clock.sleep(0);
      const arrives = await this.#transfer(to, from);
      return arrives && !this.withoutResponses.has(from) ? ok(response) : undefined;
    };
    const timeout = clock.sleep(timeoutMs).then(() => undefined);
    const response = await Promise.race([deliver().then((found) => found ?? timeout), timeout]);
    await clock.sleep(0);
    return response ?? err({ kind: 'unreachable', message: 'no response' });
  }
}
