/** Constructs the parts of the agent that other packages implement. */
import { randomUUID } from 'node:crypto';
import { openChunkStore } from '@jacinthlug/batch/ChunkStore';
import { systemClock as batchClock } from '@jacinthlug/batch/Clock';
import { openJobStore } from '@jacinthlug/batch/JobStore';
import { createFollower } from '@jacinthlug/control/follower/createFollower';
import { createMembership } from '@jacinthlug/control/membership/createMembership';
import { createPeerCalls } from '@jacinthlug/control/peers/createPeerCalls';
import { createSuspectList } from '@jacinthlug/control/suspects/createSuspectList';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { DynamoTable } from '@jacinthlug/platform/DynamoTable';
import { PrometheusHostList } from '@jacinthlug/platform/PrometheusHostList';
import { S3ObjectStore } from '@jacinthlug/platform/S3ObjectStore';
import type { Member } from '@jacinthlug/protocol/members';
import type { AgentSettings } from '@jacinthlug/settings/process/hostSettings';
import { createBatchWorker } from '../core/batch/createBatchWorker.js';
import type { CollaboratorContext, Collaborators } from './Collaborators.js';

const addressOf = ({ inner }: AgentSettings): string => `${inner.host}:${inner.port}`;

const selfIn = (settings: AgentSettings): Member => ({
  name: settings.name,
  role: 'agent',
  address: addressOf(settings),
  failureDomain: settings.failureDomain,
  region: settings.region,
  state: 'live',
  service: settings.target.service,
  target: settings.target.name,
});

/**
 * Constructs the platform clients, the configuration follower, the membership and the batch worker.
 *
 * @param context - what they may use
 * @returns the parts
 */
export const openCollaborators = (context: CollaboratorContext): Collaborators => {
  const { settings, journal, metrics, peers } = context;
  const { platform, fleetCredential, name } = settings;
  const table = new DynamoTable(platform, metrics);
  const objects = new S3ObjectStore(platform, metrics);
  const membership = createMembership(journal);
  const follower = createFollower({
    self: selfIn(settings),
    table,
    hostList: new PrometheusHostList(platform, metrics),
    membership,
    suspects: createSuspectList({ table, clock: systemClock }),
    peers: createPeerCalls(fleetCredential, peers),
    clock: systemClock,
    journal,
    metrics,
  });
  const clock = batchClock;
  const { random } = Math;
  const jobs = openJobStore({ table, objects, clock });
  const chunks = openChunkStore({ table, objects, clock, jobs, random });
  const holder = { incarnation: `${name}#${randomUUID()}`, address: addressOf(settings) };
  return {
    follower,
    membership,
    table,
    createBatchWorker: (target) =>
      createBatchWorker({ target, jobs, chunks, clock, random, holder, journal, metrics }),
    close() {
      table.close();
      objects.close();
      return Promise.resolve();
    },
  };
};
