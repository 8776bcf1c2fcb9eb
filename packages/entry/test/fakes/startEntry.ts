/** Starts an entry host on fakes. */
import 'reflect-metadata';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { promisify } from 'node:util';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import type { Member } from '@jacinthlug/protocol/members';
import { createPeerConnectionPool } from '@jacinthlug/protocol/controlClient';
import { hashKey } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { entrySettings, type EntrySettings } from '@jacinthlug/settings/process/hostSettings';
import { ok } from 'neverthrow';
import { container } from 'tsyringe';
import type { DataPath } from '../../src/core/forwarding/DataPath.js';
import type { Endpoint, OperatorHandler } from '../../src/core/http/Exchange.js';
import { writeJson } from '../../src/core/http/writeJson.js';
import type { EntryProcess } from '../../src/core/lifecycle/EntryProcess.js';
import { registerOnlinePath } from '../../src/wiring/registerOnlinePath.js';
import { tokens } from '../../src/wiring/tokens.js';
import type { FakeFollower } from './FakeFollower.js';
import { fakeMembership } from './fakeMembership.js';
import type { FakeRates } from './FakeRates.js';
import type { FakeSuspects } from './FakeSuspects.js';
import type { FakeTable } from './FakeTable.js';

export const FLEET_CREDENTIAL = 'fleet-credential-of-the-tests';

export const OPERATOR_CREDENTIAL = 'operator-credential-of-the-tests';

const url = 'http://127.0.0.1:1';

const settings: EntrySettings = {
  ...entrySettings.omit({ inner: true, outer: true }).parse({
    name: 'entry-1',
    failureDomain: 'quay',
    region: 'coast',
    fleetCredential: FLEET_CREDENTIAL,
    platform: { table: { url }, objects: { url }, hosts: { url } },
    graceMs: 0,
    stopWithinMs: 1000,
    operatorCredentialSha256: hashKey(OPERATOR_CREDENTIAL),
  }),
  // The system picks free ports, which settings cannot ask for.
  inner: { host: '127.0.0.1', port: 0 },
  outer: { host: '127.0.0.1', port: 0 },
};

const probe: Endpoint<OperatorHandler> = {
  method: 'GET',
  path: '/operator/v1/probe',
  handle: ({ response }) => {
    writeJson(response, 200, {});
    return Promise.resolve(ok(undefined));
  },
};

/** What entry hosts of a scenario share. */
export interface EntryFakes {
  readonly table: FakeTable;
  readonly follower: FakeFollower;
  readonly rates: FakeRates;
  readonly suspects: FakeSuspects;
  readonly members: () => readonly Member[];
}

/** A running entry host. */
export interface RunningEntry {
  readonly url: string;
  readonly process: EntryProcess;
  /** Counts the connections from callers. */
  readonly countConnections: () => Promise<number>;
  /** Cuts all its connections at once, as a crash does. */
  readonly crash: () => Promise<void>;
}

/**
 * Starts an entry host.
 *
 * @param around - fakes that it meets
 * @param seed - seed of its random choices
 * @returns the entry host
 */
export const startEntry = async (around: EntryFakes, seed: number): Promise<RunningEntry> => {
  const child = container.createChildContainer();
  const link = { isCut: false };
  const values: [symbol, unknown][] = [
    [tokens.settings, settings],
    [tokens.journal, silentJournal],
    [tokens.metrics, openMetrics('entry-1')],
    [tokens.table, around.table.asTable(link)],
    [tokens.follower, around.follower.asFollower()],
    [tokens.membership, fakeMembership(around.members)],
    [tokens.rates, around.rates.asRates()],
    [tokens.suspects, around.suspects],
    [tokens.peerConnections, createPeerConnectionPool()],
    [tokens.random, createRandom(seed)],
    [tokens.callerEndpoints, []],
    [tokens.operatorEndpoints, [probe]],
    [tokens.closables, []],
  ];
  values.forEach(([token, value]) => child.register(token, { useValue: value }));
  registerOnlinePath(child);
  const process = child.resolve<EntryProcess>(tokens.process);
  await process.start();
  const outer = child.resolve<Server>(tokens.outerServer);
  const { port } = outer.address() as AddressInfo;
  const countConnections = () => promisify(outer.getConnections.bind(outer))();
  const crash = async () => {
    link.isCut = true;
    outer.closeAllConnections();
    await child.resolve<DataPath>(tokens.dataPath).close();
  };
  return { url: `http://127.0.0.1:${port}`, process, countConnections, crash };
};
