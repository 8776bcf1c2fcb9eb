/** Creates the dependencies of the agent that other packages implement. */
import { randomUUID } from 'node:crypto';
import { openChunkStore } from '@jacinthlug/batch/ChunkStore';
import { systemClock as batchClock } from '@jacinthlug/batch/Clock';
import { openJobStore } from '@jacinthlug/batch/JobStore';
import { createFollower } from '@jacinthlug/control/follower/createFollower';
import { createMembership } from '@jacinthlug/control/membership/createMembership';
import { createPeerClient } from '@jacinthlug/control/peers/createPeerClient';
import { createSuspectList } from '@jacinthlug/control/suspects/createSuspectList';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { DynamoTable } from '@jacinthlug/backing/DynamoTable';
import { PrometheusHostList } from '@jacinthlug/backing/PrometheusHostList';
import { S3ObjectStore } from '@jacinthlug/backing/S3ObjectStore';
import type { Member } from '@jacinthlug/protocol/members';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { createBatchWorker } from '../core/batch/createBatchWorker.js';
import type { BatchWorker } from '../core/BatchWorker.js';
import type { DependencyContext, AgentDependencies } from './AgentDependencies.js';

const createSelf = ({ name, inner, failureDomain, region, target }: AgentSettings): Member => ({
  name,
  role: 'agent',
  address: `${inner.host}:${inner.port}`,
  failureDomain,
  region,
  state: 'live',
  service: target.service,
  target: target.name,
});

/** Batch worker of a plain service, which runs no batch items. */
const noopWorker: BatchWorker = {
  start: () => undefined,
  cancelJob: () => undefined,
  stop: () => Promise.resolve(),
};

/**
 * Creates the configuration follower, the membership and the batch worker.
 *
 * @param context - settings, outputs and connections
 * @returns the dependencies
 */
export const createDependencies = (context: DependencyContext): AgentDependencies => {
  const { settings, journal, metrics, peers } = context;
  const { platform, fleetCredential } = settings;
  const self = createSelf(settings);
  const table = new DynamoTable(platform, metrics);
  const objects = new S3ObjectStore(platform, metrics);
  const membership = createMembership(journal);
  const follower = createFollower({
    self,
    table,
    hostList: new PrometheusHostList(platform, metrics),
    membership,
    suspects: createSuspectList({ table, clock: systemClock }),
    peers: createPeerClient(fleetCredential, peers),
    clock: systemClock,
    journal,
    metrics,
  });
  return {
    follower,
    membership,
    table,
    createBatchWorker(target) {
      if (settings.target.kind === 'service') return noopWorker;
      const jobs = openJobStore({ table, objects, clock: batchClock });
      return createBatchWorker({
        target,
        jobs,
        chunks: openChunkStore({
          table,
          objects,
          clock: batchClock,
          jobs,
          random: Math.random,
          leaseMs: settings.chunkLeaseMs,
        }),
        clock: batchClock,
        journal,
        metrics,
        holder: { incarnation: `${settings.name}#${randomUUID()}`, address: self.address },
        random: Math.random,
      });
    },
    close() {
      table.close();
      objects.close();
      return Promise.resolve();
    },
  };
};
