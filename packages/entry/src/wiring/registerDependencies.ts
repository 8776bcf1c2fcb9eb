/** Registers the components of an entry host other than those of the online path. */
import { randomUUID } from 'node:crypto';
import { systemClock as batchClock } from '@jacinthlug/batch/Clock';
import { openFileStore } from '@jacinthlug/batch/FileStore';
import { openJobStore } from '@jacinthlug/batch/JobStore';
import { openJournal, type Journal } from '@jacinthlug/catalog/Journal';
import { openMetrics, type Metrics } from '@jacinthlug/catalog/Metrics';
import { createEditor } from '@jacinthlug/control/edits/createEditor';
import { createFollower, type Follower } from '@jacinthlug/control/follower/createFollower';
import type { Membership } from '@jacinthlug/control/Membership';
import {
  createMembership,
  type ReplicatedMembership,
} from '@jacinthlug/control/membership/createMembership';
import { createPeerClient } from '@jacinthlug/control/peers/createPeerClient';
import type { PeerClient } from '@jacinthlug/control/peers/PeerClient';
import { createRateShares } from '@jacinthlug/control/rates/createRateShares';
import type { RateShares } from '@jacinthlug/control/RateShares';
import {
  createSuspectList,
  type ReplicatedSuspectList,
} from '@jacinthlug/control/suspects/createSuspectList';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { DynamoTable } from '@jacinthlug/backing/DynamoTable';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { PrometheusHostList } from '@jacinthlug/backing/PrometheusHostList';
import { S3ObjectStore } from '@jacinthlug/backing/S3ObjectStore';
import type { Table } from '@jacinthlug/backing/Table';
import {
  callPeer,
  createControlClient,
  createPeerConnectionPool,
} from '@jacinthlug/protocol/controlClient';
import type { Member } from '@jacinthlug/protocol/members';
import type { CancelNotice } from '@jacinthlug/protocol/messages';
import type { EntrySettings } from '@jacinthlug/settings/process/hostSettings';
import type { DependencyContainer } from 'tsyringe';
import type { Agent } from 'undici';
import { createBatchEndpoints } from '../core/batches/createBatchEndpoints.js';
import type { CallerHandler, Endpoint, OperatorHandler } from '../core/http/Exchange.js';
import type { Closable } from '../core/lifecycle/EntryProcess.js';
import { createOperatorEndpoints } from '../core/operators/createOperatorEndpoints.js';
import { createSingletonRegistrar, type Factory } from './createSingletonRegistrar.js';
import { tokens } from './tokens.js';

/** Timeout for notifying a host that a job was cancelled. Unit: ms. */
const CANCEL_NOTICE_TIMEOUT_MS = 1000;

const createSelfMember = ({ name, inner, failureDomain, region }: EntrySettings): Member => ({
  name,
  role: 'entry',
  address: `${inner.host}:${inner.port}`,
  failureDomain,
  region,
  state: 'live',
});

const buildFollower: Factory<Follower> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  const metrics = container.resolve<Metrics>(tokens.metrics);
  return createFollower({
    self: createSelfMember(settings),
    table: container.resolve<Table>(tokens.table),
    hostList: new PrometheusHostList(settings.platform, metrics),
    membership: container.resolve<ReplicatedMembership>(tokens.membership),
    suspects: container.resolve<ReplicatedSuspectList>(tokens.suspects),
    peers: container.resolve<PeerClient>(tokens.peerClient),
    clock: systemClock,
    journal: container.resolve<Journal>(tokens.journal),
    metrics,
  });
};

const buildRateShares: Factory<RateShares> = (container) => {
  const settings = container.resolve<EntrySettings>(tokens.settings);
  return createRateShares({
    self: createSelfMember(settings),
    incarnation: `${settings.name}#${randomUUID()}`,
    table: container.resolve<Table>(tokens.table),
    membership: container.resolve<Membership>(tokens.membership),
    follower: container.resolve<Follower>(tokens.follower),
    peers: container.resolve<PeerClient>(tokens.peerClient),
    clock: systemClock,
    journal: container.resolve<Journal>(tokens.journal),
    metrics: container.resolve<Metrics>(tokens.metrics),
  });
};

const notifyCancelled =
  (container: DependencyContainer) =>
  (notice: CancelNotice, addresses: readonly string[]): void => {
    const { fleetCredential } = container.resolve<EntrySettings>(tokens.settings);
    const peerConnections = container.resolve<Agent>(tokens.peerConnections);
    addresses.forEach((address) => {
      const client = createControlClient(address, fleetCredential, peerConnections);
      void callPeer(CANCEL_NOTICE_TIMEOUT_MS, (signal) =>
        client.batch.cancelled.mutate(notice, { signal }),
      );
    });
  };

const buildBatchEndpoints: Factory<Endpoint<CallerHandler>[]> = (container) => {
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

const buildOperatorEndpoints: Factory<Endpoint<OperatorHandler>[]> = (container) => {
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
 * Registers the dependencies of the online path, and the batch and operator endpoints.
 *
 * @param container - container of the process
 * @param settings - settings of the process
 */
export const registerDependencies = (
  container: DependencyContainer,
  settings: EntrySettings,
): void => {
  const { name, logLevel, statsd, platform, fleetCredential } = settings;
  container.register(tokens.settings, { useValue: settings });
  container.register(tokens.random, { useValue: Math.random });
  const register = createSingletonRegistrar(container);
  register(tokens.journal, () => openJournal(name, logLevel));
  register(tokens.metrics, () => openMetrics(name, statsd));
  register(tokens.table, (c) => new DynamoTable(platform, c.resolve<Metrics>(tokens.metrics)));
  register(tokens.objects, (c) => new S3ObjectStore(platform, c.resolve<Metrics>(tokens.metrics)));
  register(tokens.peerConnections, () => createPeerConnectionPool());
  register(tokens.peerClient, (c) =>
    createPeerClient(fleetCredential, c.resolve<Agent>(tokens.peerConnections)),
  );
  register(tokens.membership, (c) => createMembership(c.resolve<Journal>(tokens.journal)));
  register(tokens.suspects, (c) =>
    createSuspectList({ table: c.resolve<Table>(tokens.table), clock: systemClock }),
  );
  register(tokens.follower, buildFollower);
  register(tokens.rates, buildRateShares);
  register(tokens.callerEndpoints, buildBatchEndpoints);
  register(tokens.operatorEndpoints, buildOperatorEndpoints);
  register(tokens.closables, (c): Closable[] => [
    c.resolve<Table>(tokens.table),
    c.resolve<ObjectStore>(tokens.objects),
  ]);
};
