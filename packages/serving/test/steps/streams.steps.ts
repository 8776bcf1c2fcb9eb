import assert from 'node:assert/strict';
import { setImmediate, setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { ServerResponse } from 'node:http';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { Route } from '@jacinthlug/serving/configuration/ServingConfiguration';
import type { Target } from '@jacinthlug/serving/fleet/Target';
import { CallerResponse } from '@jacinthlug/serving/online/CallerResponse';
import type { WorkClass } from '@jacinthlug/serving/routing/LoadTable';
import { EndEvidence } from '@jacinthlug/serving/streams/EndEvidence';
import { StreamRecords } from '@jacinthlug/serving/streams/StreamRecords';
import { StreamResumption } from '@jacinthlug/serving/streams/StreamResumption';
import { StreamRetention } from '@jacinthlug/serving/streams/StreamRetention';
import {
  computeStreamKey,
  StreamVersions,
  type StreamVersion,
} from '@jacinthlug/serving/streams/StreamVersions';
import { VersionHistory } from '@jacinthlug/serving/streams/VersionHistory';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const SERVICE = 'chat';

/** Time in which the hosts write their rows; several times their interval. Unit: ms. */
const SAVE_TIME_MS = 400;

interface SimulatedHost {
  readonly streamVersions: StreamVersions;
  readonly versionHistory: VersionHistory;
  readonly streamRecords: StreamRecords;
  readonly resumption: StreamResumption;
  readonly retention: StreamRetention;
}

interface StreamsWorld {
  store: MemoryRecordStore;
  hosts: Map<string, SimulatedHost>;
  keys: string[];
  /** Versions that hosts find when they read the registered targets; undefined for those that each host knows. */
  registered: string[] | undefined;
  areTargetsReadable: boolean;
  /** Response to the caller of the stream. */
  response: CallerResponse | undefined;
  /** Versions of the stream that its host knew when it wrote to the caller. */
  versionsAtWrites: (string | undefined)[];
  /** Streams of the reports so far, the latest first. */
  reports: StreamVersion[][];
  targetReads: number;
  found: string | undefined;
}

const createTargets = (versions: readonly string[]): Target[] =>
  versions.map((version) => ({
    id: `t-${version}`,
    bornAt: 1,
    service: SERVICE,
    version,
    address: '127.0.0.1:1',
    failureDomain: 'a',
    slots: 8,
    state: 'ready',
  }));

const startHost = async (
  world: StreamsWorld,
  name: string,
  versions: readonly string[],
): Promise<void> => {
  const retention = new StreamRetention();
  const streamVersions = new StreamVersions(retention);
  const versionHistory = new VersionHistory(retention);
  const streamRecords = new StreamRecords({
    identity: { name },
    store: world.store,
    streamVersions,
    versionHistory,
    retention,
    countHosts: () => 2,
    journal: silentJournal,
  });
  const resumption = new StreamResumption({
    streamVersions,
    streamRecords,
    versionHistory,
    refreshTargets: () => {
      Object.assign(world, { targetReads: world.targetReads + 1 });
      if (!world.areTargetsReadable) return Promise.resolve(false);
      if (world.registered) versionHistory.update(createTargets(world.registered));
      return Promise.resolve(!world.store.down);
    },
  });
  world.hosts.set(name, { streamVersions, versionHistory, streamRecords, resumption, retention });
  versionHistory.update(createTargets(versions));
  await streamRecords.start();
};

const restartHosts = async (world: StreamsWorld, versions: readonly string[]): Promise<void> => {
  const names = [...world.hosts.keys()];
  world.hosts.forEach(({ streamRecords }) => streamRecords.stop());
  for (const name of names) await startHost(world, name, versions);
};

const startFleet = async (world: StreamsWorld, versions: readonly string[]): Promise<void> => {
  Object.assign(world, {
    store: new MemoryRecordStore(),
    hosts: new Map(),
    keys: [],
    registered: undefined,
    areTargetsReadable: true,
    response: undefined,
    versionsAtWrites: [],
    reports: [],
    targetReads: 0,
  });
  for (const name of ['h-1', 'h-2']) await startHost(world, name, versions);
};

After(function (this: StreamsWorld) {
  this.hosts?.forEach?.(({ streamRecords }) => streamRecords?.stop());
});

Given(
  'hosts "h-1" and "h-2" that know versions {string} and {string}',
  function (this: StreamsWorld, first: string, second: string) {
    return startFleet(this, [first, second]);
  },
);

Given(
  'hosts "h-1" and "h-2" that know versions {string}',
  function (this: StreamsWorld, version: string) {
    return startFleet(this, [version]);
  },
);

const beginStreams = (world: StreamsWorld, count: number, version: string, name: string): void => {
  const keys = Array.from({ length: count }, (_, index) =>
    computeStreamKey('account', `r-${index}`),
  );
  Object.assign(world, { keys });
  keys.forEach((key) => world.hosts.get(name)!.streamVersions.begin(key, version));
};

When(
  '{int} streams of {string} begin at {string}',
  function (this: StreamsWorld, count: number, version: string, name: string) {
    beginStreams(this, count, version, name);
  },
);

const createResponse = (world: StreamsWorld, name: string, key: string): CallerResponse => {
  const { streamVersions } = world.hosts.get(name)!;
  const response = {
    headersSent: false,
    writeHead: () => Object.assign(response, { headersSent: true }),
    write: () => world.versionsAtWrites.push(streamVersions.find(key)) > 0,
  };
  return new CallerResponse(
    response as unknown as ServerResponse,
    true,
    true,
    undefined,
    (version) => streamVersions.begin(key, version),
  );
};

When(
  /^a target of "([^"]+)" sends a head( and an event)? at "([^"]+)"$/,
  function (this: StreamsWorld, version: string, event: string | null, name: string) {
    const key = computeStreamKey('account', 'r-0');
    this.keys = [key];
    this.response ??= createResponse(this, name, key);
    this.response.begin(200, {}, false, version);
    if (event) this.response.write(Buffer.from('id: 1\ndata: text\n\n'));
  },
);

Then('the version was known when the event was passed on', function (this: StreamsWorld) {
  assert.deepEqual(this.versionsAtWrites, ['v2']);
});

/** Passes on what "h-1" knows. */
const sources: Readonly<Record<string, (world: StreamsWorld) => unknown>> = {
  reports: ({ hosts }) => {
    const streams = hosts.get('h-1')!.streamVersions.selectForReport();
    hosts.get('h-2')!.streamVersions.applyReport({ host: 'h-1', streams });
  },
  'reports, the first ones last': ({ hosts, reports }) => {
    reports.unshift(hosts.get('h-1')!.streamVersions.selectForReport());
    const { streamVersions } = hosts.get('h-2')!;
    reports.forEach((streams) => streamVersions.learn(streams, { kind: 'report', host: 'h-1' }));
  },
  'rows of the store': () => sleep(SAVE_TIME_MS),
  'rows of the store, after the host starts again': async (world) => {
    await sleep(SAVE_TIME_MS);
    // A process that was killed has not ended its streams.
    world.hosts.get('h-1')!.streamRecords.stop();
    const { response } = world;
    await startHost(world, 'h-1', ['v1', 'v2']);
    Object.assign(world, { response: response?.started ? response : undefined });
  },
};

When(/^(.+) reach the other host$/, async function (this: StreamsWorld, source: string) {
  await sources[source]!(this);
});

When(
  '{int} streams of {string} begin at {string}, whose store is down',
  function (this: StreamsWorld, count: number, version: string, name: string) {
    this.store.down = true;
    beginStreams(this, count, version, name);
  },
);

When(
  '{string} looks for them, and {string} reports them after a first read of the store',
  async function (this: StreamsWorld, to: string, from: string) {
    const { resumption, streamRecords, streamVersions } = this.hosts.get(to)!;
    const search = resumption.findVersion(this.keys[0]!, SERVICE);
    // Joins the read of the search.
    await streamRecords.refresh();
    await setImmediate();
    streamVersions.applyReport({
      host: from,
      streams: this.hosts.get(from)!.streamVersions.selectForReport(),
    });
    this.found = await search;
  },
);

Then(
  '{string} has found version {string} with {int} reads of the targets',
  function (this: StreamsWorld, _name: string, version: string, reads: number) {
    assert.equal(this.found, version);
    assert.equal(this.targetReads, reads);
  },
);

When('the streams complete', function (this: StreamsWorld) {
  this.keys.forEach((key) => this.hosts.get('h-1')!.streamVersions.end(key, true));
});

When(
  '{string} sends {int} reports of at most {int} streams to {string}',
  function (this: StreamsWorld, from: string, count: number, max: number, to: string) {
    for (let report = 0; report < count; report += 1) {
      const streams = this.hosts.get(from)!.streamVersions.selectForReport();
      assert.ok(streams.length <= max);
      this.hosts.get(to)!.streamVersions.applyReport({ host: from, streams });
    }
  },
);

Then(
  'the next report of {string} has {int} streams',
  function (this: StreamsWorld, name: string, count: number) {
    assert.equal(this.hosts.get(name)!.streamVersions.selectForReport().length, count);
  },
);

When('the hosts have saved them', () => sleep(SAVE_TIME_MS));

When(
  'all hosts are killed and start again with versions {string}',
  function (this: StreamsWorld, version: string) {
    return restartHosts(this, [version]);
  },
);

When(
  'host {string} is killed, starts again with versions {string} and saves its row',
  async function (this: StreamsWorld, name: string, version: string) {
    this.hosts.get(name)!.streamRecords.stop();
    await startHost(this, name, [version]);
    await sleep(SAVE_TIME_MS);
  },
);

When('the store goes down', function (this: StreamsWorld) {
  this.store.down = true;
});

When(
  'the store comes up, and all hosts are killed and start again with versions {string}',
  function (this: StreamsWorld, version: string) {
    this.hosts.forEach(({ streamRecords }) => streamRecords.stop());
    this.store.down = false;
    return restartHosts(this, [version]);
  },
);

When('version {string} comes into service', function (this: StreamsWorld, version: string) {
  this.hosts.forEach(({ versionHistory }) => versionHistory.update(createTargets(['v1', version])));
});

When(
  'version {string} comes into service at {string} only',
  function (this: StreamsWorld, version: string, name: string) {
    this.hosts.get(name)!.versionHistory.update(createTargets(['v1', version]));
  },
);

When(
  'version {string} comes into service, and the hosts hear nothing of it',
  function (this: StreamsWorld, version: string) {
    this.registered = ['v1', version];
  },
);

When(
  '{string} has written {int} s ago that version {string} is in service',
  async function (this: StreamsWorld, key: string, seconds: number, version: string) {
    const row = {
      writtenAt: this.store.now() - seconds * 1000,
      versions: { [SERVICE]: ['v1', version] },
      streams: [],
    };
    const value = Buffer.from(JSON.stringify(row));
    await this.store.commit({
      conditions: [],
      writes: [{ table: 'streams', partition: 'streams', key, value }],
    });
  },
);

When("the hosts can't read the targets", function (this: StreamsWorld) {
  this.areTargetsReadable = false;
});

When('version {string} leaves service', function (this: StreamsWorld, version: string) {
  const others = createTargets(['v1', 'v2'].filter((each) => each !== version));
  this.hosts.forEach(({ versionHistory }) => versionHistory.update(others));
});

When(
  'streams may last {int} s at {string}',
  function (this: StreamsWorld, seconds: number, name: string) {
    const routes = [{ resumable: true, timeoutMs: seconds * 1000 }] as Route[];
    this.hosts.get(name)!.retention.configure({ routes });
  },
);

Then(
  'versions {string} and {string} can have begun a stream at {string}',
  function (this: StreamsWorld, first: string, second: string, name: string) {
    const { versionHistory } = this.hosts.get(name)!;
    assert.deepEqual(versionHistory.listPossible(SERVICE).sort(), [first, second]);
  },
);

When(
  'version {string} has left {int} s ago',
  function (this: StreamsWorld, version: string, seconds: number) {
    const others = createTargets(['v1', 'v2'].filter((each) => each !== version));
    this.hosts.get('h-1')!.versionHistory.update(others, performance.now() - seconds * 1000);
  },
);

Then(
  'only version {string} can have begun a stream at {string}',
  function (this: StreamsWorld, version: string, name: string) {
    const { versionHistory } = this.hosts.get(name)!;
    assert.deepEqual(versionHistory.listPossible(SERVICE), [version]);
    assert.ok(!versionHistory.isMixed());
  },
);

const findVersions = (world: StreamsWorld, name: string, keys: readonly string[]) =>
  Promise.all(keys.map((key) => world.hosts.get(name)!.resumption.findVersion(key, SERVICE)));

Then(
  '{string} finds version {string} for all of them',
  async function (this: StreamsWorld, name: string, version: string) {
    assert.ok(this.keys.length > 0);
    const found = await findVersions(this, name, this.keys);
    assert.deepEqual([...new Set(found)], [version]);
  },
);

Then(
  '{string} finds no version for any of them',
  async function (this: StreamsWorld, name: string) {
    assert.ok(this.keys.length > 0);
    const found = await findVersions(this, name, this.keys);
    assert.deepEqual([...new Set(found)], [undefined]);
  },
);

Then(
  '{string} finds no version for a stream that no host has seen',
  async function (this: StreamsWorld, name: string) {
    const found = await findVersions(this, name, [computeStreamKey('account', 'unseen')]);
    assert.deepEqual(found, [undefined]);
  },
);

Then('the store has had {int} writes', function (this: StreamsWorld, writes: number) {
  assert.equal(this.store.commitCount, writes);
});

Then(
  '{string} states that {string} told the versions by {string}',
  function (this: StreamsWorld, name: string, teller: string, kind: string) {
    const { streamVersions } = this.hosts.get(name)!;
    const host = teller === name ? {} : { host: teller };
    this.keys.forEach((key) =>
      assert.deepEqual(streamVersions.describeSource(key)?.source, { kind, ...host }),
    );
  },
);

When('{string} reads the rows of all hosts', async function (this: StreamsWorld, name: string) {
  assert.ok(await this.hosts.get(name)!.streamRecords.refresh());
});

When(
  /^responses to (online|batch) end after events at targets: (.+)$/,
  function (this: { isProven: boolean }, work: WorkClass, ends: string) {
    const evidence = new EndEvidence(work);
    ends.split(', ').forEach((end) => {
      const [position, target] = end.split(' at ') as [string, string];
      evidence.record({ position, service: 'chat', version: 'v1', target });
    });
    this.isProven = evidence.isProven;
  },
);

Then(/^the end is (proven|not proven)$/, function (this: { isProven: boolean }, expected: string) {
  assert.equal(this.isProven, expected === 'proven');
});
