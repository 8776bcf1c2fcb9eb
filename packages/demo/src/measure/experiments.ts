/** Experiments behind the figures in docs/CAPACITY.md. */
import type { ControlHandlers } from '@jacinthlug/protocol/controlRouter';
import type { ConfigurationState } from '@jacinthlug/protocol/messages';
import { resolveConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { measureCalls } from './measureCalls.js';
import type { Experiment } from './Measurement.js';
import {
  createConfiguration,
  createDemands,
  createMembers,
  createShares,
  loadReportExample,
} from './syntheticFleet.js';

const KIB = 1024;

const currentState: ConfigurationState = {
  version: 7,
  mode: 'confirmed',
  reachesTable: true,
  heldMs: 700,
  ageMs: 212.5,
  failureDomain: 'domain-4',
  suspectsVersion: 0,
};

const watchHandlers = (state: ConfigurationState): ControlHandlers => ({
  watchConfiguration: () => Promise.resolve(state),
});

const measureWatchCall = (state: ConfigurationState) =>
  measureCalls(watchHandlers(state), (client) =>
    client.configuration.watch.query({
      asker: 'host-17',
      version: 7,
      suspectsVersion: 0,
      holdMs: 700,
    }),
  );

const measureShareCall = (accounts: number) => {
  const demands = createDemands(accounts);
  const shares = createShares(accounts);
  const handlers: ControlHandlers = {
    watchConfiguration: () => Promise.resolve(currentState),
    shareRates: () => Promise.resolve({ kind: 'granted', shares }),
  };
  return measureCalls(handlers, (client) =>
    client.rates.share.mutate({
      incarnation: 'entry-17#1',
      sequence: 9,
      shard: 4,
      demands,
      released: [],
    }),
  );
};

const measureLoadCall = () =>
  measureCalls(
    {
      watchConfiguration: () => Promise.resolve(currentState),
      reportLoad: () => Promise.resolve(loadReportExample),
    },
    (client) => client.load.report.query(),
  );

const collectGarbage = (): void => {
  if (!globalThis.gc) throw new Error('start Node.js with --expose-gc');
  globalThis.gc();
};

/** Measures the heap that a value retains after garbage collection. Unit: KiB. */
const measureHeap = (build: () => unknown): number => {
  collectGarbage();
  const before = process.memoryUsage().heapUsed;
  const retained = build();
  collectGarbage();
  const after = process.memoryUsage().heapUsed;
  // Keeps the value reachable until the second reading.
  if (retained === undefined) throw new Error('build returned no value');
  return (after - before) / KIB;
};

const accountCounts = [95, 190, 380, 760];
const memberCounts = [125, 250, 500, 1000];
const demandCounts = [1, 10, 40];

/** All experiments, each with at least three sizes. */
export const experiments: readonly Experiment[] = [
  {
    name: 'configuration in memory, with lookups',
    size: 'client accounts with 4 keys each',
    unit: 'KiB of heap',
    sizes: accountCounts,
    measure: (size) =>
      Promise.resolve(measureHeap(() => resolveConfiguration(createConfiguration(size)))),
  },
  {
    name: 'adopting a configuration',
    size: 'client accounts with 4 keys each',
    unit: 'ms of processor time',
    sizes: accountCounts,
    measure(size) {
      const created = createConfiguration(size);
      const before = process.cpuUsage();
      resolveConfiguration(created);
      const used = process.cpuUsage(before);
      return Promise.resolve((used.user + used.system) / 1000);
    },
  },
  {
    name: 'configuration on the wire',
    size: 'client accounts with 4 keys each',
    unit: 'bytes a watch answer',
    sizes: accountCounts,
    measure: async (size) =>
      (await measureWatchCall({ ...currentState, configuration: createConfiguration(size) })).bytes,
  },
  {
    name: 'membership in memory',
    size: 'members',
    unit: 'KiB of heap',
    sizes: memberCounts,
    measure: (size) => Promise.resolve(measureHeap(() => createMembers(size))),
  },
  {
    name: 'membership on the wire',
    size: 'members',
    unit: 'bytes a watch answer',
    sizes: memberCounts,
    measure: async (size) =>
      (await measureWatchCall({ ...currentState, members: createMembers(size) })).bytes,
  },
  {
    name: 'membership on the wire, processor',
    size: 'members',
    unit: 'us of processor time a watch answer',
    sizes: memberCounts,
    measure: async (size) =>
      (await measureWatchCall({ ...currentState, members: createMembers(size) })).cpuMicros,
  },
  {
    name: 'share message',
    size: 'client accounts in the message',
    unit: 'bytes a message',
    sizes: demandCounts,
    measure: async (size) => (await measureShareCall(size)).bytes,
  },
  {
    name: 'share message, processor',
    size: 'client accounts in the message',
    unit: 'us of processor time a message',
    sizes: demandCounts,
    measure: async (size) => (await measureShareCall(size)).cpuMicros,
  },
];

/** Measures the calls whose cost has no size: an unchanged watch response and a load report. */
export const measureFixedCosts = async () => ({
  watch: await measureWatchCall(currentState),
  load: await measureLoadCall(),
});
