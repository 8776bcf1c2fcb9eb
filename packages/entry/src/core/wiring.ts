/** Wires the parts of an entry host. */
import { randomUUID } from 'node:crypto';
import type { Server } from 'node:http';
import { systemClock as batchClock } from '@jacinthlug/batch/Clock';
import { openFileStore } from '@jacinthlug/batch/FileStore';
import { openJobStore } from '@jacinthlug/batch/JobStore';
import { openJournal, type Journal } from '@jacinthlug/catalog/Journal';
import { openMetrics, type Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import { createEditor } from '@jacinthlug/control/edits/createEditor';
import { createFollower, type Follower } from '@jacinthlug/control/follower/createFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import {
  createMembership,
  type SpreadMembership,
} from '@jacinthlug/control/membership/createMembership';
import { createPeerCalls } from '@jacinthlug/control/peers/createPeerCalls';
import type { PeerCalls } from '@jacinthlug/control/peers/PeerCalls';
import { createRateShares } from '@jacinthlug/control/rates/createRateShares';
import type { RateShares } from '@jacinthlug/control/RateShares';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import {
  createSuspectList,
  type SpreadSuspectList,
} from '@jacinthlug/control/suspects/createSuspectList';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { DynamoTable } from '@jacinthlug/platform/DynamoTable';
import type { ObjectStore } from '@jacinthlug/platform/ObjectStore';
import { PrometheusHostList } from '@jacinthlug/platform/PrometheusHostList';
import { S3ObjectStore } from '@jacinthlug/platform/S3ObjectStore';
import type { Table } from '@jacinthlug/platform/Table';
import {
  callPeer,
  openControlClient,
  openPeerConnections,
} from '@jacinthlug/protocol/controlClient';
import type { ControlHandlers } from '@jacinthlug/protocol/controlRouter';
import type { Member } from '@jacinthlug/protocol/members';
import type { CancelNotice, SuspectNotice } from '@jacinthlug/protocol/messages';
import type { EntrySettings } from '@jacinthlug/settings/process/hostSettings';
import { instanceCachingFactory, type DependencyContainer, type InjectionToken } from 'tsyringe';
import type { Agent } from 'undici';
import { createBatchEndpoints } from './batches/createBatchEndpoints.js';
import { BackgroundWrites } from './claims/BackgroundWrites.js';
import { ClaimStore } from './claims/ClaimStore.js';
import { CrashRecorder } from './forwarding/CrashRecorder.js';
import { DataPath } from './forwarding/DataPath.js';
import { Forwarder } from './forwarding/Forwarder.js';
import { RetryBudget } from './forwarding/RetryBudget.js';
import type { CallerHandler, Endpoint, OperatorHandler } from './http/Exchange.js';
import { createInnerServer } from './http/innerServer.js';
import { createOuterServer } from './http/OuterServer.js';
import { EntryProcess, type Closable } from './lifecycle/EntryProcess.js';
import { Lifecycle } from './lifecycle/Lifecycle.js';
import { createChatEndpoint } from './online/chatCompletions.js';
import { DeclaredRoutes } from './online/DeclaredRoutes.js';
import { modelEndpoints } from './online/modelEndpoints.js';
import { OnlineRunner } from './online/OnlineRunner.js';
import { createOperatorEndpoints } from './operators/createOperatorEndpoints.js';
import { AgentTable, type LoadQuestion } from './routing/AgentTable.js';
import type { Random } from './routing/chooseAgent.js';

/** Time limit of a notice that a job was cancelled. Unit: ms. */
const NOTICE_LIMIT_MS = 1000;

/** Longest wait for the other entry hosts to learn of suspects. Unit: ms. */
const SUSPECT_NOTICE_LIMIT_MS = 300;

/** Time limit of a question for load. Unit: ms. */
const LOAD_LIMIT_MS = 500;

/** Tokens of what the parts are wired from; each is registered with the interface beside it. */
export const tokens = {
  /** `EntrySettings` */
  settings: Symbol('settings'),
  /** `Journal` */
  journal: Symbol('journal'),
  /** `Metrics` */
  metrics: Symbol('metrics'),
  /** `Table` */
  table: Symbol('table'),
  /** `ConfigurationFollower` */
  follower: Symbol('follower'),
  /** `Membership` */
  membership: Symbol('membership'),
  /** `RateShares` */
  rates: Symbol('rates'),
  /** `SuspectList` */
  suspects: Symbol('suspects'),
  /** `ObjectStore` */
  objects: Symbol('objects'),
  /** `PeerCalls` */
  peerCalls: Symbol('peerCalls'),
  /** undici `Agent` for control messages */
  peers: Symbol('peers'),
  /** `Random` */
  random: Symbol('random'),
  /** `Endpoint<CallerHandler>[]` beyond the online path */
  callerEndpoints: Symbol('callerEndpoints'),
  /** `Endpoint<OperatorHandler>[]` */
  operatorEndpoints: Symbol('operatorEndpoints'),
  /** `Closable[]` */
  closables: Symbol('closables'),
  lifecycle: Symbol('lifecycle'),
  background: Symbol('background'),
  claims: Symbol('claims'),
  agents: Symbol('agents'),
  dataPath: Symbol('dataPath'),
  crashes: Symbol('crashes'),
  forwarder: Symbol('forwarder'),
  runner: Symbol('runner'),
  routes: Symbol('routes'),
  innerServer: Symbol('innerServer'),
  outerServer: Symbol('outerServer'),
  process: Symbol('process'),
} as const satisfies Record<string, InjectionToken>;

type Build<Part> = (container: DependencyContainer) => Part;

const askLoad =
  (container: DependencyContainer): LoadQuestion =>
  (address) => {
    const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const client = openControlClient(address, fleetCredential, container.resolve(tokens.peers));
    return callPeer(LOAD_LIMIT_MS, (signal) => client.load.report.query(undefined, { signal }));
  };

const buildAgents: Build<AgentTable> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  return new AgentTable({
    name: settings.name,
    failureDomain: settings.failureDomain,
    subsetSize: settings.agentSubset,
    membership: container.resolve<Membership>(tokens.membership),
    journal: container.resolve<Journal>(tokens.journal),
    askLoad: askLoad(container),
    random: container.resolve<Random>(tokens.random),
  });
};

/** Tells every other entry host of suspects, and waits for them only for a short time. */
const tellSuspects =
  (container: DependencyContainer) =>
  async (notice: SuspectNotice): Promise<void> => {
    const { name, fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const peers = container.resolve<Agent>(tokens.peers);
    const others = container
      .resolve<Membership>(tokens.membership)
      .liveEntries()
      .filter((entry) => entry.name !== name);
    await Promise.all(
      others.map(({ address }) => {
        const client = openControlClient(address, fleetCredential, peers);
        return callPeer(SUSPECT_NOTICE_LIMIT_MS, (signal) =>
          client.suspects.learn.mutate(notice, { signal }),
        );
      }),
    );
  };

const buildCrashes: Build<CrashRecorder> = (container) =>
  new CrashRecorder({
    name: container.resolve<EntrySettings>(tokens.settings).name,
    membership: container.resolve<Membership>(tokens.membership),
    suspects: container.resolve<SuspectList>(tokens.suspects),
    journal: container.resolve<Journal>(tokens.journal),
    tell: tellSuspects(container),
    schedule: (task, delayMs) => setTimeout(task, delayMs).unref(),
  });

const buildForwarder: Build<Forwarder> = (container) =>
  new Forwarder({
    agents: container.resolve<AgentTable>(tokens.agents),
    dataPath: container.resolve<DataPath>(tokens.dataPath),
    budget: new RetryBudget(),
    suspects: container.resolve<SuspectList>(tokens.suspects),
    crashes: container.resolve<CrashRecorder>(tokens.crashes),
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });

const buildRunner: Build<OnlineRunner> = (container) =>
  new OnlineRunner({
    claims: container.resolve<ClaimStore>(tokens.claims),
    rates: container.resolve<RateShares>(tokens.rates),
    forwarder: container.resolve<Forwarder>(tokens.forwarder),
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });

const buildInnerServer: Build<Server> = (container) => {
  const follower = container.resolve<ConfigurationFollower>(tokens.follower);
  const rates = container.resolve<RateShares>(tokens.rates);
  const crashes = container.resolve<CrashRecorder>(tokens.crashes);
  const handlers: ControlHandlers = {
    watchConfiguration: (question) => follower.answer(question),
    shareRates: (question) => rates.answer(question),
    addSuspects: (report) => crashes.record(report),
    learnSuspects({ suspects }) {
      // Number 0 merges the records without taking over the number of another list.
      container.resolve<SpreadSuspectList>(tokens.suspects).merge(0, suspects);
      return Promise.resolve();
    },
  };
  const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
  return createInnerServer(handlers, fleetCredential);
};

const buildOuterServer: Build<Server> = (container) => {
  const follower = container.resolve<ConfigurationFollower>(tokens.follower);
  const runner = container.resolve<OnlineRunner>(tokens.runner);
  return createOuterServer({
    follower,
    lifecycle: container.resolve<Lifecycle>(tokens.lifecycle),
    routes: container.resolve<DeclaredRoutes>(tokens.routes),
    callerEndpoints: [
      createChatEndpoint(follower, runner),
      ...modelEndpoints,
      ...container.resolve<Endpoint<CallerHandler>[]>(tokens.callerEndpoints),
    ],
    operatorEndpoints: container.resolve<Endpoint<OperatorHandler>[]>(tokens.operatorEndpoints),
    operatorCredentialSha256: container.resolve<EntrySettings>(tokens.settings)
      .operatorCredentialSha256,
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });
};

const buildProcess: Build<EntryProcess> = (container) =>
  new EntryProcess({
    settings: container.resolve<EntrySettings>(tokens.settings),
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
    lifecycle: container.resolve<Lifecycle>(tokens.lifecycle),
    inner: container.resolve<Server>(tokens.innerServer),
    outer: container.resolve<Server>(tokens.outerServer),
    follower: container.resolve<ConfigurationFollower>(tokens.follower),
    rates: container.resolve<RateShares>(tokens.rates),
    agents: container.resolve<AgentTable>(tokens.agents),
    background: container.resolve<BackgroundWrites>(tokens.background),
    dataPath: container.resolve<DataPath>(tokens.dataPath),
    closables: [
      { close: () => container.resolve<Agent>(tokens.peers).destroy() },
      ...container.resolve<Closable[]>(tokens.closables),
    ],
  });

/**
 * Registers the parts of the online path. What they are built from (settings, journal, metrics, table,
 * follower, membership, rates, suspects, peers, random, endpoint lists, closables) must be registered too.
 *
 * @param container - container of the process
 */
export const registerOnlinePath = (container: DependencyContainer): void => {
  const register = <Part>(token: symbol, build: Build<Part>) =>
    container.register(token, { useFactory: instanceCachingFactory(build) });
  register(tokens.lifecycle, () => new Lifecycle());
  register(tokens.background, (c) => new BackgroundWrites(c.resolve<Table>(tokens.table)));
  register(
    tokens.claims,
    (c) =>
      new ClaimStore(
        c.resolve<Table>(tokens.table),
        c.resolve<BackgroundWrites>(tokens.background),
        c.resolve<Journal>(tokens.journal),
      ),
  );
  register(tokens.agents, buildAgents);
  register(
    tokens.dataPath,
    (c) => new DataPath(c.resolve<EntrySettings>(tokens.settings).fleetCredential),
  );
  register(tokens.crashes, buildCrashes);
  register(tokens.forwarder, buildForwarder);
  register(tokens.runner, buildRunner);
  register(
    tokens.routes,
    (c) =>
      new DeclaredRoutes(
        c.resolve<ConfigurationFollower>(tokens.follower),
        c.resolve<OnlineRunner>(tokens.runner),
      ),
  );
  register(tokens.innerServer, buildInnerServer);
  register(tokens.outerServer, buildOuterServer);
  register(tokens.process, buildProcess);
};

const selfIn = ({ name, inner, failureDomain, region }: EntrySettings): Member => ({
  name,
  role: 'entry',
  address: `${inner.host}:${inner.port}`,
  failureDomain,
  region,
  state: 'live',
});

const buildFollower: Build<Follower> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  const metrics = container.resolve<Metrics>(tokens.metrics);
  return createFollower({
    self: selfIn(settings),
    table: container.resolve<Table>(tokens.table),
    hostList: new PrometheusHostList(settings.platform, metrics),
    membership: container.resolve<SpreadMembership>(tokens.membership),
    suspects: container.resolve<SpreadSuspectList>(tokens.suspects),
    peers: container.resolve<PeerCalls>(tokens.peerCalls),
    clock: systemClock,
    journal: container.resolve<Journal>(tokens.journal),
    metrics,
  });
};

const buildRates: Build<RateShares> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  return createRateShares({
    self: selfIn(settings),
    incarnation: `${settings.name}#${randomUUID()}`,
    table: container.resolve<Table>(tokens.table),
    membership: container.resolve<Membership>(tokens.membership),
    follower: container.resolve<Follower>(tokens.follower),
    peers: container.resolve<PeerCalls>(tokens.peerCalls),
    clock: systemClock,
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });
};

const notifyCancelled =
  (container: DependencyContainer) =>
  (notice: CancelNotice, addresses: readonly string[]): void => {
    const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const peers = container.resolve<Agent>(tokens.peers);
    addresses.forEach((address) => {
      const client = openControlClient(address, fleetCredential, peers);
      void callPeer(NOTICE_LIMIT_MS, (signal) => client.batch.cancelled.mutate(notice, { signal }));
    });
  };

const buildBatchEndpoints: Build<Endpoint<CallerHandler>[]> = (container) => {
  const table = container.resolve<Table>(tokens.table);
  const objects = container.resolve<ObjectStore>(tokens.objects);
  const clock = batchClock;
  return createBatchEndpoints({
    jobs: openJobStore({ table, objects, clock }),
    files: openFileStore({ table, objects, clock }),
    objects,
    clock,
    journal: container.resolve<Journal>(tokens.journal),
    notifyCancelled: notifyCancelled(container),
  });
};

const buildOperatorEndpoints: Build<Endpoint<OperatorHandler>[]> = (container) => {
  const { name, fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
  const table = container.resolve<Table>(tokens.table);
  const follower = container.resolve<Follower>(tokens.follower);
  const journal = container.resolve<Journal>(tokens.journal);
  return createOperatorEndpoints({
    name,
    editor: createEditor({ table, follower, clock: systemClock, journal }),
    follower,
    membership: container.resolve<Membership>(tokens.membership),
    table,
    metrics: container.resolve<Metrics>(tokens.metrics),
    fleetCredential,
  });
};

/**
 * Registers everything that a process needs besides the online path.
 *
 * @param container - container of the process
 * @param settings - settings of the process
 */
export const registerCollaborators = (
  container: DependencyContainer,
  settings: EntrySettings,
): void => {
  const { name, logLevel, statsd, platform, fleetCredential } = settings;
  container.register(tokens.settings, { useValue: settings });
  container.register(tokens.random, { useValue: Math.random });
  const register = <Part>(token: symbol, build: Build<Part>) =>
    container.register(token, { useFactory: instanceCachingFactory(build) });
  register(tokens.journal, () => openJournal(name, logLevel));
  register(tokens.metrics, () => openMetrics(name, statsd));
  register(tokens.table, (c) => new DynamoTable(platform, c.resolve<Metrics>(tokens.metrics)));
  register(tokens.objects, (c) => new S3ObjectStore(platform, c.resolve<Metrics>(tokens.metrics)));
  register(tokens.peers, () => openPeerConnections());
  register(tokens.peerCalls, (c) =>
    createPeerCalls(fleetCredential, c.resolve<Agent>(tokens.peers)),
  );
  register(tokens.membership, (c) => createMembership(c.resolve<Journal>(tokens.journal)));
  register(tokens.suspects, (c) =>
    createSuspectList({ table: c.resolve<Table>(tokens.table), clock: systemClock }),
  );
  register(tokens.follower, buildFollower);
  register(tokens.rates, buildRates);
  register(tokens.callerEndpoints, buildBatchEndpoints);
  register(tokens.operatorEndpoints, buildOperatorEndpoints);
  register(tokens.closables, (c): Closable[] => [
    c.resolve<Table>(tokens.table),
    c.resolve<ObjectStore>(tokens.objects),
  ]);
};
