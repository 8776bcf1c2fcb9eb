/** Registers the components of the online path of an entry host. */
import type { Server } from 'node:http';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import type { RateShares } from '@jacinthlug/control/RateShares';
import type { SuspectList } from '@jacinthlug/control/SuspectList';
import type { ReplicatedSuspectList } from '@jacinthlug/control/suspects/createSuspectList';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { computeProcessLimits } from '@jacinthlug/control/callers/computeProcessLimits';
import type { Table } from '@jacinthlug/backing/Table';
import { callPeer, createControlClient } from '@jacinthlug/protocol/controlClient';
import type { ControlHandlers } from '@jacinthlug/protocol/controlRouter';
import type { SuspectNotice } from '@jacinthlug/protocol/messages';
import type { EntrySettings } from '@jacinthlug/settings/process/hostSettings';
import type { DependencyContainer } from 'tsyringe';
import type { Agent } from 'undici';
import { BackgroundWrites } from '../core/claims/BackgroundWrites.js';
import { ClaimStore } from '../core/claims/ClaimStore.js';
import { CrashRecorder } from '../core/forwarding/CrashRecorder.js';
import { DataPath } from '../core/forwarding/DataPath.js';
import { Forwarder } from '../core/forwarding/Forwarder.js';
import { RetryBudget } from '../core/forwarding/RetryBudget.js';
import type { CallerHandler, Endpoint, OperatorHandler } from '../core/http/Exchange.js';
import { createInnerServer } from '../core/http/createInnerServer.js';
import { createOuterServer } from '../core/http/createOuterServer.js';
import { EntryProcess, type Closable } from '../core/lifecycle/EntryProcess.js';
import { Lifecycle } from '../core/lifecycle/Lifecycle.js';
import { createChatEndpoint } from '../core/online/chatCompletions.js';
import { DeclaredRouteHandler } from '../core/online/DeclaredRouteHandler.js';
import { modelEndpoints } from '../core/online/modelEndpoints.js';
import { OnlineRunner } from '../core/online/OnlineRunner.js';
import { AgentTable, type LoadQuery } from '../core/routing/AgentTable.js';
import type { Random } from '../core/routing/chooseAgent.js';
import { createSingletonRegistrar, type Factory } from './createSingletonRegistrar.js';
import { tokens } from './tokens.js';

/** Timeout for notifying the other entry hosts of suspects. Unit: ms. */
const SUSPECT_NOTICE_TIMEOUT_MS = 300;

/** Timeout for querying an agent's load. Unit: ms. */
const LOAD_QUERY_TIMEOUT_MS = 500;

const queryLoad =
  (container: DependencyContainer): LoadQuery =>
  (address) => {
    const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const client = createControlClient(
      address,
      fleetCredential,
      container.resolve(tokens.peerConnections),
    );
    return callPeer(LOAD_QUERY_TIMEOUT_MS, (signal) =>
      client.load.report.query(undefined, { signal }),
    );
  };

const buildAgentTable: Factory<AgentTable> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  return new AgentTable({
    name: settings.name,
    failureDomain: settings.failureDomain,
    subsetSize: settings.agentSubset,
    membership: container.resolve<Membership>(tokens.membership),
    journal: container.resolve<Journal>(tokens.journal),
    queryLoad: queryLoad(container),
    random: container.resolve<Random>(tokens.random),
  });
};

/** Notifies all other entry hosts of suspects, waiting at most {@link SUSPECT_NOTICE_TIMEOUT_MS}. */
const announceSuspects =
  (container: DependencyContainer) =>
  async (notice: SuspectNotice): Promise<void> => {
    const { name, fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const peerConnections = container.resolve<Agent>(tokens.peerConnections);
    const others = container
      .resolve<Membership>(tokens.membership)
      .liveEntries()
      .filter((entry) => entry.name !== name);
    await Promise.all(
      others.map(({ address }) => {
        const client = createControlClient(address, fleetCredential, peerConnections);
        return callPeer(SUSPECT_NOTICE_TIMEOUT_MS, (signal) =>
          client.suspects.learn.mutate(notice, { signal }),
        );
      }),
    );
  };

const buildCrashRecorder: Factory<CrashRecorder> = (container) =>
  new CrashRecorder({
    name: container.resolve<EntrySettings>(tokens.settings).name,
    membership: container.resolve<Membership>(tokens.membership),
    suspects: container.resolve<SuspectList>(tokens.suspects),
    journal: container.resolve<Journal>(tokens.journal),
    notifyEntries: announceSuspects(container),
    schedule: (task, delayMs) => setTimeout(task, delayMs).unref(),
  });

const buildForwarder: Factory<Forwarder> = (container) =>
  new Forwarder({
    agents: container.resolve<AgentTable>(tokens.agents),
    dataPath: container.resolve<DataPath>(tokens.dataPath),
    retryBudget: new RetryBudget(),
    suspects: container.resolve<SuspectList>(tokens.suspects),
    crashRecorder: container.resolve<CrashRecorder>(tokens.crashRecorder),
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });

const buildOnlineRunner: Factory<OnlineRunner> = (container) =>
  new OnlineRunner({
    claims: container.resolve<ClaimStore>(tokens.claims),
    rates: container.resolve<RateShares>(tokens.rates),
    forwarder: container.resolve<Forwarder>(tokens.forwarder),
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });

const buildInnerServer: Factory<Server> = (container) => {
  const follower = container.resolve<ConfigurationFollower>(tokens.follower);
  const rates = container.resolve<RateShares>(tokens.rates);
  const crashRecorder = container.resolve<CrashRecorder>(tokens.crashRecorder);
  const handlers: ControlHandlers = {
    watchConfiguration: (request) => follower.handleWatch(request),
    shareRates: (request) => rates.handleRequest(request),
    addSuspects: (report) => crashRecorder.recordReport(report),
    learnSuspects({ suspects }) {
      // Version 0 merges the records without adopting the version of another list.
      container.resolve<ReplicatedSuspectList>(tokens.suspects).merge(0, suspects);
      return Promise.resolve();
    },
  };
  const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
  return createInnerServer(handlers, fleetCredential);
};

const buildOuterServer: Factory<Server> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  const { bodyMemoryBytes, maxConnections } = computeProcessLimits(settings.limits);
  const follower = container.resolve<ConfigurationFollower>(tokens.follower);
  const runner = container.resolve<OnlineRunner>(tokens.runner);
  return createOuterServer({
    follower,
    lifecycle: container.resolve<Lifecycle>(tokens.lifecycle),
    routes: container.resolve<DeclaredRouteHandler>(tokens.routes),
    callerEndpoints: [
      createChatEndpoint(follower, runner),
      ...modelEndpoints,
      ...container.resolve<Endpoint<CallerHandler>[]>(tokens.callerEndpoints),
    ],
    operatorEndpoints: container.resolve<Endpoint<OperatorHandler>[]>(tokens.operatorEndpoints),
    operatorCredentialSha256: settings.operatorCredentialSha256,
    bodies: new BodyBudget(bodyMemoryBytes),
    maxConnections,
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });
};

const buildProcess: Factory<EntryProcess> = (container) =>
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
    background: container.resolve<BackgroundWrites>(tokens.backgroundWrites),
    dataPath: container.resolve<DataPath>(tokens.dataPath),
    closables: [
      { close: () => container.resolve<Agent>(tokens.peerConnections).destroy() },
      ...container.resolve<Closable[]>(tokens.closables),
    ],
  });

/**
 * Registers the components of the online path. Their dependencies (settings, journal, metrics, table, follower,
 * membership, rates, suspects, peer connections, random, endpoint lists, closables) must be registered as well.
 *
 * @param container - container of the process
 */
export const registerOnlinePath = (container: DependencyContainer): void => {
  const register = createSingletonRegistrar(container);
  register(tokens.lifecycle, () => new Lifecycle());
  register(tokens.backgroundWrites, (c) => new BackgroundWrites(c.resolve<Table>(tokens.table)));
  register(
    tokens.claims,
    (c) =>
      new ClaimStore(
        c.resolve<Table>(tokens.table),
        c.resolve<BackgroundWrites>(tokens.backgroundWrites),
        c.resolve<Journal>(tokens.journal),
      ),
  );
  register(tokens.agents, buildAgentTable);
  register(
    tokens.dataPath,
    (c) => new DataPath(c.resolve<EntrySettings>(tokens.settings).fleetCredential),
  );
  register(tokens.crashRecorder, buildCrashRecorder);
  register(tokens.forwarder, buildForwarder);
  register(tokens.runner, buildOnlineRunner);
  register(
    tokens.routes,
    (c) =>
      new DeclaredRouteHandler(
        c.resolve<ConfigurationFollower>(tokens.follower),
        c.resolve<OnlineRunner>(tokens.runner),
      ),
  );
  register(tokens.innerServer, buildInnerServer);
  register(tokens.outerServer, buildOuterServer);
  register(tokens.process, buildProcess);
};
