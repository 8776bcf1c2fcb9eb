import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import { chooseHolder, type WorkerCandidate } from '@jacinthlug/serving/fleet/capableHosts';
import { Members, MEMBERS_TABLE } from '@jacinthlug/serving/fleet/Members';
import { createReport } from '../fakes/createReport.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

interface MembersWorld {
  members: Members;
  store: MemoryRecordStore;
  now: number;
  wasApplied: boolean;
  storeRegainedMsAgo: number;
  upMs: number;
  lastReport: LoadReport;
  hosts: WorkerCandidate[];
  /** Number of jobs by host name. */
  jobs: Map<string, number>;
}

Given('a host that receives reports', function (this: MembersWorld) {
  const identity = {
    name: 'h-1',
    failureDomain: 'a',
    incarnation: 500,
    address: '127.0.0.1',
    port: 1,
    cores: 1,
  };
  this.store = new MemoryRecordStore();
  this.members = new Members({ identity, store: this.store, journal: silentJournal });
  this.now = 100_000;
  this.storeRegainedMsAgo = Number.POSITIVE_INFINITY;
  this.upMs = 100_000;
});

When(
  /^process (\d+) of "([^"]+)" reports for the (\d+)\w\w time, (\d+) s after its start$/,
  function (
    this: MembersWorld,
    incarnation: number,
    host: string,
    sequence: number,
    seconds: number,
  ) {
    this.now += 50;
    this.lastReport = createReport(host, sequence, { incarnation, upMs: seconds * 1000 });
    this.wasApplied = this.members.applyReport(this.lastReport, this.now);
  },
);

Then(/^the last report is (taken|dropped)$/, function (this: MembersWorld, outcome: string) {
  assert.equal(this.wasApplied, outcome === 'taken');
});

Then(
  /^process (\d+) of "([^"]+)" (is|is not) at work$/,
  function (this: MembersWorld, incarnation: number, host: string, state: string) {
    assert.equal(this.members.isAvailable(host, incarnation, this.now), state === 'is');
  },
);

const register = (
  world: MembersWorld,
  incarnation: number,
  name: string,
  now: number,
  fields: object = {},
): void => {
  const row = {
    address: '127.0.0.1',
    port: 2,
    incarnation,
    failureDomain: 'a',
    cores: 1,
    ...fields,
  };
  const record = {
    table: MEMBERS_TABLE,
    partition: '',
    key: name,
    value: Buffer.from(JSON.stringify(row)),
    revision: 7,
  };
  world.members.apply([{ kind: 'written', record }], now);
};

When(
  /^the row of "([^"]+)" has (.+)$/,
  async function (this: MembersWorld, name: string, field: string) {
    const row = { address: '127.0.0.1', port: 2, incarnation: 1, failureDomain: 'a', cores: 1 };
    const value = Buffer.from(`${JSON.stringify(row).slice(0, -1)},${field}}`);
    const key = { table: MEMBERS_TABLE, partition: '', key: name };
    const written = await this.store.commit({ conditions: [], writes: [{ ...key, value }] });
    const record = { ...key, value, revision: written.unwrapOr(0) };
    this.members.apply([{ kind: 'written', record }], this.now);
  },
);

Then('reports are sent to {string}', function (this: MembersWorld, names: string) {
  assert.deepEqual(
    this.members.peers.map(({ name }) => name),
    names.split(', '),
  );
});

Then('the host writes its own row', async function (this: MembersWorld) {
  const page = await this.store.read({ table: MEMBERS_TABLE, partition: '' });
  const records = page.map((read) => read.records).unwrapOr([]);
  const own = records.find(({ key }) => key === 'h-1');
  assert.deepEqual(JSON.parse(own!.value.toString()), {
    address: '127.0.0.1',
    port: 1,
    incarnation: 500,
    failureDomain: 'a',
    cores: 1,
    keyFormat: 'escaped',
  });
});

When(
  /^the rows of "h-1" and "h-2" state the key formats (\w+) and (\w+)$/,
  function (this: MembersWorld, own: string, other: string) {
    Object.entries({ 'h-1': own, 'h-2': other })
      .filter(([, keyFormat]) => keyFormat !== 'missing')
      .forEach(([name, keyFormat]) => {
        const fields = keyFormat === 'none' ? {} : { keyFormat };
        register(this, 500, name, this.now, fields);
      });
  },
);

Then('the host uses the key format {string}', function (this: MembersWorld, format: string) {
  assert.equal(this.members.findKeyFormat(), format);
});

When(
  'process {int} of {string} registers',
  function (this: MembersWorld, incarnation: number, name: string) {
    register(this, incarnation, name, this.now);
  },
);

Given(
  'process {int} of {string} registered long ago',
  function (this: MembersWorld, incarnation: number, name: string) {
    register(this, incarnation, name, this.now - 90_000);
  },
);

Given('the store recovered {int} ms ago', function (this: MembersWorld, ms: number) {
  this.storeRegainedMsAgo = ms;
});

Given('the host itself started {int} ms ago', function (this: MembersWorld, ms: number) {
  this.upMs = ms;
});

When('{int} ms pass', function (this: MembersWorld, ms: number) {
  this.now += ms;
});

When('its next report is forwarded {int} ms late', function (this: MembersWorld, ageMs: number) {
  this.now += ageMs;
  const { sequence, upMs } = this.lastReport;
  const next = { ...this.lastReport, sequence: sequence + 1, upMs: upMs + 50, ageMs };
  this.wasApplied = this.members.applyReport(next, this.now);
});

When(
  'process {int} of {string} reports without contact to the store for {int} ms',
  function (this: MembersWorld, incarnation: number, host: string, storeAgeMs: number) {
    this.members.applyReport(
      createReport(host, 1, { incarnation, upMs: 60_000, storeAgeMs }),
      this.now,
    );
  },
);

Then(
  /^the work of process (\d+) of "([^"]+)" (may|may not) be given to others$/,
  function (this: MembersWorld, incarnation: number, host: string, may: string) {
    const { storeRegainedMsAgo, upMs } = this;
    const hasFailed = this.members.hasFailed(
      host,
      incarnation,
      { storeRegainedMsAgo, upMs },
      this.now,
    );
    assert.equal(hasFailed, may === 'may');
  },
);

Given(/^hosts with ([\d., ]+) processors$/, function (this: MembersWorld, cores: string) {
  this.hosts = cores
    .split(', ')
    .map((each, index) => ({ name: `h-${index + 1}`, incarnation: 1, cores: Number(each) }));
});

When('each of them accepts {int} jobs', function (this: MembersWorld, count: number) {
  this.jobs = new Map();
  this.hosts.forEach((own) => {
    for (let job = 0; job < count; job += 1) {
      const { name } = chooseHolder(`${own.name}-${job}`, own, this.hosts)!;
      this.jobs.set(name, (this.jobs.get(name) ?? 0) + 1);
    }
  });
});

Then(
  /^only hosts ([\d, ]+) hold jobs, none of them more than (\d+)$/,
  function (this: MembersWorld, numbers: string, maxJobs: number) {
    const expected = numbers.split(', ').map((number) => `h-${number}`);
    assert.deepEqual([...this.jobs.keys()].sort(), expected);
    assert.ok(Math.max(...this.jobs.values()) <= maxJobs, JSON.stringify([...this.jobs]));
  },
);

When(
  'process {int} of {string} reports that it is stopping',
  function (this: MembersWorld, incarnation: number, host: string) {
    const report = createReport(host, 90, { incarnation, upMs: 60_000, isStopping: true });
    this.members.applyReport(report, this.now);
  },
);

When('the host itself is stopping', function (this: MembersWorld) {
  this.members.isStopping = true;
});

Then(
  /^jobs that the host accepts are run by (.+)$/,
  function (this: MembersWorld, expected: string) {
    const holders = Array.from({ length: 30 }, (_, job) =>
      this.members.assignHolder(`job-${job}`, this.now),
    );
    const names = new Set(holders.map((holder) => holder?.[0] ?? 'any host'));
    assert.deepEqual([...names].sort(), expected.split(' and '));
  },
);

Then('work can be taken over by {string}', function (this: MembersWorld, names: string) {
  assert.deepEqual(this.members.listWorkers(this.now), names.split(', '));
});

Given(
  /^process (\d+) of "([^"]+)" has written its row, and the host has read it (\d+) ms ago$/,
  async function (this: MembersWorld, incarnation: string, name: string, ms: string) {
    const row = { address: '127.0.0.1', port: 2, incarnation: Number(incarnation) };
    const value = Buffer.from(JSON.stringify({ ...row, failureDomain: 'a' }));
    const key = { table: MEMBERS_TABLE, partition: '', key: name };
    const written = await this.store.commit({ conditions: [], writes: [{ ...key, value }] });
    const record = { ...key, value, revision: written.unwrapOr(0) };
    this.members.apply([{ kind: 'written', record }], this.now - Number(ms));
  },
);

Given(
  'the last report of process {int} of {string} came {int} ms ago',
  function (this: MembersWorld, incarnation: number, name: string, ms: number) {
    const report = createReport(name, 1, { incarnation, upMs: 1000 });
    this.members.applyReport(report, this.now - ms);
  },
);

Then(
  /^the host (removes|keeps) the row of "([^"]+)"$/,
  async function (this: MembersWorld, action: string, name: string) {
    await this.members.removeUnresponsive(this.now);
    const page = await this.store.read({ table: MEMBERS_TABLE, partition: '' });
    const records = page.map((read) => read.records).unwrapOr([]);
    const hasRow = records.some(({ key }) => key === name);
    assert.equal(hasRow, action === 'keeps');
  },
);
