/** Starts an entry host with fake dependencies. */
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
  // Port 0 selects a free port. The schema of the settings does not allow it.
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

/** Fakes that are shared by the entry hosts of a scenario. */
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
  /** Returns the number of open connections from callers. */
  readonly countConnections: () => Promise<number>;
  /** Cuts all connections of the entry host at once, like a crash. */
  readonly crash: () => Promise<void>;
}

/**
 * Starts an entry host.
 *
 * @param fakes - fakes that it uses
 * @param seed - seed of its random number generator
 * @returns the entry host
 */
export const startEntry = async (fakes: EntryFakes, seed: number): Promise<RunningEntry> => {
  const child = container.createChildContainer();
  const link = { isCut: false };
  const values: [symbol, unknown][] = [
    [tokens.settings, settings],
    [tokens.journal, silentJournal],
    [tokens.metrics, openMetrics('entry-1')],
    [tokens.table, fakes.table.asTable(link)],
    [tokens.follower, fakes.follower.asFollower()],
    [tokens.membership, fakeMembership(fakes.members)],
    [tokens.rates, fakes.rates.asRates()],
    [tokens.suspects, fakes.suspects],
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
