import assert from 'node:assert/strict';
import { setImmediate, setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryObjects } from '@jacinthlug/batch/testing/MemoryObjects';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import { HeldJobs, type HeldJobsDependencies } from '@jacinthlug/serving/batch/HeldJobs';
import { HeldJob } from '@jacinthlug/serving/batch/HeldJob';
import type { AttemptOutcome } from '@jacinthlug/serving/online/runAttempt';
import type { ItemState } from '@jacinthlug/serving/batch/JobRecord';
import { ItemTask } from '@jacinthlug/serving/batch/ItemTask';
import {
  jobKey,
  JOBS_TABLE,
  PROGRESS_TABLE,
  progressKey,
  type KeyFormat,
} from '@jacinthlug/serving/batch/jobKeys';
import { ConfigurationView } from '@jacinthlug/serving/configuration/ConfigurationView';
import { ok, type Result } from 'neverthrow';
import { applyJobRows, createJobHost, type JobHost } from '../fakes/createJobHost.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const TOKENS_PER_ITEM = 100;

/** A host with a clock of its own. */
interface ClockedHost extends JobHost {
  readonly clock: ReturnType<typeof createSkippingClock>;
}

interface JobsWorld {
  task: ItemTask;
  /** Final state of the task, if it has one. */
  state: ItemState | undefined;
  store: MemoryRecordStore;
  hosts: Map<string, ClockedHost>;
  /** Name of the account whose jobs are submitted. */
  account: string;
  limit: number;
  responses: Result<void, Refusal>[];
  job: string;
  held: HeldJob | undefined;
  /** Number of times that a host has given the job up. */
  givenUpCount: number;
}

/** Time limit for a host to stop. Unit: ms. */
const STOP_TIMEOUT_MS = 5000;

const ACCOUNT = 'fitters';

/** Version of the configuration with which jobs are accepted. */
const ACCEPTING_CONFIGURATION = 2;

const createItem = (index: number) => ({
  id: `item-${index}`,
  path: '/x/',
  headers: {},
  body: '',
  tokens: TOKENS_PER_ITEM,
});

/** A clock that skips waits: each sleep advances it immediately. */
const createSkippingClock = () => {
  let time = 0;
  const timeouts: { readonly at: number; readonly controller: AbortController }[] = [];
  return {
    now: () => time,
    async sleep(ms: number) {
      time += ms;
      timeouts.filter(({ at }) => at <= time).forEach(({ controller }) => controller.abort());
    },
    /** Creates a signal that is aborted after a time. Unit: ms. */
    abortAfter(ms: number): AbortSignal {
      const controller = new AbortController();
      timeouts.push({ at: time + ms, controller });
      return controller.signal;
    },
  };
};

/** How long callers wait. Unit: ms. */
const CALLER_WAIT_MS = 2500;

const submit = async (world: JobsWorld, id: string, items: number, host: string): Promise<void> => {
  Object.assign(world, { job: id });
  const { jobs, clock } = world.hosts.get(host)!;
  const response = await jobs.accept(
    {
      id,
      account: world.account,
      route: 'r',
      host: 'x.example',
      items: Array.from({ length: items }, (_, index) => createItem(index)),
      configuration: ACCEPTING_CONFIGURATION,
      waitingTokens: world.limit,
    },
    [host, 1],
    clock.abortAfter(CALLER_WAIT_MS),
  );
  world.responses.push(response);
};

/** Applies all job changes in the store to a host's cache. */
const applyStoreChanges = (world: JobsWorld, host: string): void =>
  applyJobRows(world.store, world.hosts.get(host)!.jobCache);

const openJob = async (world: JobsWorld, host: string): Promise<HeldJob> => {
  const { jobCache, jobs, progress } = world.hosts.get(host)!;
  const known = jobCache.find(ACCOUNT, world.job)!;
  const input = known.record.items.map((_, each) => createItem(each));
  const policy = { attempts: 3, completionTargetMs: 1000, retentionMs: 60_000 };
  const dependencies = { jobs, progress, journal: silentJournal, holder: [host, 1] as const };
  const held = new HeldJob(known, policy, input, dependencies);
  const outputs = await progress.load(known);
  assert.ok(outputs.isOk());
  held.resume(outputs.value);
  Object.assign(world, { held });
  return held;
};

/** Lets a run of an item output one event for each text. */
const writeEvents = (task: ItemTask, texts: readonly string[], first = 1): void => {
  Object.assign(task.response, { origin: { service: 'chat', version: 'v1' } });
  task.response.begin(200, {}, false, 'v1');
  texts.forEach((text, index) =>
    task.response.write(Buffer.from(`id: ${first + index}\ndata: ${text}\n\n`)),
  );
};

const eventTexts = (first: number, last: number): string[] =>
  Array.from({ length: last - first + 1 }, (_, index) => `event ${first + index}`);

const appendResult = async (
  world: JobsWorld,
  host: string,
  index: number,
  text: string,
  meanwhile?: (held: HeldJob) => Promise<void>,
) => {
  const held = await openJob(world, host);
  const task = held.tasks.get(index) ?? new ItemTask(index, createItem(index), 3);
  writeEvents(task, [text]);
  held.finish(task, 'completed');
  await meanwhile?.(held);
  await held.waitForWrites();
};

const RUN_OUTCOMES: Readonly<Record<string, AttemptOutcome>> = {
  'lost connection': {
    kind: 'broken',
    cause: 'ECONNRESET',
    connectionLost: true,
    wasUnderWay: false,
  },
  'broken response': {
    kind: 'broken',
    cause: 'response to another request',
    connectionLost: false,
    wasUnderWay: false,
  },
  refused: { kind: 'not-run', cause: 'ECONNREFUSED', unreachable: true },
  silent: { kind: 'silent' },
};

When(
  /^(\d+) runs of an item in a row end as (.+)$/,
  function (this: JobsWorld, runs: string, outcome: string) {
    this.task = new ItemTask(0, createItem(0), 3);
    this.state = undefined;
    for (let run = 0; run < Number(runs) && !this.state; run += 1)
      this.state = this.task.finishRun(RUN_OUTCOMES[outcome]!, 0, 0);
  },
);

Then(
  'the item has no final state, and can run again within {int} ms',
  function (this: JobsWorld, limitMs: number) {
    assert.equal(this.state, undefined);
    assert.ok(this.task.isWaiting(limitMs), `runs again after ${this.task.notBefore} ms`);
  },
);

/** Lets a target continue an item up to an event, and end its response. */
const respondToRun = (task: ItemTask, text: string): ItemState | undefined => {
  const [, last = '0'] = /^to event (\d+)/.exec(text) ?? [];
  const { response } = task;
  const eventsBefore = response.resumableEventCount;
  const isCloseDelimited = !text.endsWith('stated');
  const version = text.endsWith('another version') ? 'v2' : 'v1';
  const service = text.endsWith('another service') ? 'other' : 'chat';
  const [, target = 't-1'] = / at (t-\d)/.exec(text) ?? [];
  Object.assign(task, { run: { target: { id: target, bornAt: 1 } } });
  response.origin = { service, version };
  response.begin(200, {}, isCloseDelimited, version);
  for (let event = Number(response.lastEventId ?? 0) + 1; event <= Number(last); event += 1)
    response.write(Buffer.from(`id: ${event}\ndata: event ${event}\n\n`));
  if (text.endsWith('and an id'))
    response.write(Buffer.from(`id: ${Number(response.lastEventId) + 1}\n\n`));
  const isBroken = text.endsWith('broken') || response.isTruncated;
  const outcome: AttemptOutcome = isBroken
    ? RUN_OUTCOMES['lost connection']!
    : { kind: 'complete', status: 200, isCloseDelimited };
  return task.finishRun(outcome, eventsBefore, 0);
};

When(
  /^targets respond in turn to the runs of an item: (.+)$/,
  function (this: JobsWorld, responses: string) {
    this.task = new ItemTask(0, createItem(0), 3);
    this.state = undefined;
    responses.split('; ').forEach((text) => {
      assert.equal(this.state, undefined);
      const [, saved] = /^saved to event (\d+)$/.exec(text) ?? [];
      if (saved === undefined) this.state = respondToRun(this.task, text);
      else
        this.task.resume({
          lastEventId: saved,
          data: eventTexts(1, Number(saved)),
          service: 'chat',
          version: 'v1',
        });
    });
  },
);

Then('the item has no final state', function (this: JobsWorld) {
  assert.equal(this.state, undefined);
});

Then(
  'the item has completed with events {int} to {int}',
  function (this: JobsWorld, first: number, last: number) {
    assert.equal(this.state, 'completed');
    assert.equal(this.task.response.text, eventTexts(first, last).join('\n'));
  },
);

/** Starts two hosts with a store; each host writes keys of one format. */
const startHosts = (world: JobsWorld, formats: Readonly<Record<string, KeyFormat>>): void => {
  const store = new MemoryRecordStore();
  const objects = new MemoryObjects();
  const hosts = Object.entries(formats).map(([name, format]): [string, ClockedHost] => {
    const clock = createSkippingClock();
    return [name, { ...createJobHost({ store, objects, clock }, format), clock }];
  });
  Object.assign(world, { store, hosts: new Map(hosts), account: ACCOUNT, limit: 0, responses: [] });
};

Given(
  'hosts {string} and {string} with a store',
  function (this: JobsWorld, first: string, second: string) {
    startHosts(this, { [first]: 'escaped', [second]: 'escaped' });
  },
);

Given(
  'hosts {string} and {string} with a store, of which {string} joins names as earlier versions do',
  function (this: JobsWorld, first: string, second: string, earlier: string) {
    startHosts(this, { [first]: 'escaped', [second]: 'escaped', [earlier]: 'joined' });
  },
);

Given(
  'the account is named {string}, and may have {int} tokens waiting',
  function (this: JobsWorld, account: string, limit: number) {
    Object.assign(this, { account, limit });
  },
);

Given('accounts may have {int} tokens waiting', function (this: JobsWorld, limit: number) {
  this.limit = limit;
});

When('the store loses the response to the next commit', function (this: JobsWorld) {
  this.store.faults.push('lost-answer');
});

Given(
  'the store does not respond to the next {int} commits and applies them later',
  function (this: JobsWorld, count: number) {
    for (let index = 0; index < count; index += 1) this.store.faults.push('late');
  },
);

When('the row of the job becomes unreadable', async function (this: JobsWorld) {
  const key = jobKey(ACCOUNT, this.job);
  const written = await this.store.commit({
    conditions: [],
    writes: [{ ...key, value: Buffer.from('{}') }],
  });
  assert.ok(written.isOk());
});

When('a caller reads the job at {string}', async function (this: JobsWorld, host: string) {
  const { jobs, clock } = this.hosts.get(host)!;
  const found = await jobs.find(ACCOUNT, this.job, false, clock.abortAfter(CALLER_WAIT_MS));
  this.responses.push(found.map(() => undefined));
});

Given('the store is silent about the next commit', function (this: JobsWorld) {
  this.store.faults.push('silent');
});

Given('the store rejects the {int} commits after these', function (this: JobsWorld, count: number) {
  for (let index = 0; index < count; index += 1) this.store.faults.push('rejected');
});

Given('the store is down', function (this: JobsWorld) {
  this.store.down = true;
});

When(
  'job {string} with {int} items is submitted to {string}',
  async function (this: JobsWorld, id: string, items: number, host: string) {
    applyStoreChanges(this, host);
    await submit(this, id, items, host);
  },
);

When(
  'job {string} with {int} items is submitted to {string}, which does not know the other job',
  async function (this: JobsWorld, id: string, items: number, host: string) {
    await submit(this, id, items, host);
  },
);

/** Time in which a host looks for jobs several times. Unit: ms. */
const SCANNING_TIME_MS = 1700;

When(
  /^"([^"]+)", whose configuration (\d+) lacks the route, looks for jobs$/,
  async function (this: JobsWorld, host: string, version: string) {
    const { jobCache, jobs, progress } = this.hosts.get(host)!;
    const journal = silentJournal;
    const view = new ConfigurationView(journal);
    view.follower = { age: 0 };
    view.apply({
      version: Number(version),
      routes: [],
      accounts: [],
      services: [],
      limits: { headerBytes: 0, bodyBytes: 0, headerTimeoutMs: 0, idleTimeoutMs: 0 },
    });
    this.givenUpCount = 0;
    const heldJobs = new HeldJobs({
      identity: { name: host, failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
      view,
      members: { listWorkers: () => [host] } as unknown as HeldJobsDependencies['members'],
      jobCache,
      jobs,
      progress,
      journal,
      findHolderFilter: () => undefined,
      jobRetentionMs: 60_000,
      timeSinceStoreContact: () => 0,
      timeSinceStoreRecovery: () => Number.POSITIVE_INFINITY,
      onItemsAvailable: () => undefined,
      onExpired: () => {
        this.givenUpCount += 1;
      },
    });
    heldJobs.start();
    await sleep(SCANNING_TIME_MS);
    await heldJobs.stop(performance.now());
  },
);

Then('it keeps the job', function (this: JobsWorld) {
  assert.equal(this.givenUpCount, 0);
});

Then('it gives the job up', function (this: JobsWorld) {
  assert.ok(this.givenUpCount > 0);
});

When('the store delays the next commit', function (this: JobsWorld) {
  this.store.faults.push('late');
});

When('the delayed commit is applied', function (this: JobsWorld) {
  this.store.applyDelayedCommits();
});

When(
  '{string} outputs events {int} to {int} of item {int} and saves its progress',
  async function (this: JobsWorld, host: string, first: number, last: number, index: number) {
    const held = await openJob(this, host);
    writeEvents(held.tasks.get(index)!, eventTexts(first, last), first);
    await held.handOver(performance.now() + STOP_TIMEOUT_MS);
  },
);

When(
  '{string} outputs events {int} to {int} of item {int} and saves its progress as earlier versions do',
  async function (this: JobsWorld, host: string, first: number, last: number, index: number) {
    const { jobCache } = this.hosts.get(host)!;
    const { key } = jobCache.find(this.account, this.job)!;
    const output = {
      lastEventId: String(last),
      data: eventTexts(first, last),
      service: 'chat',
      version: 'v1',
    };
    const value = Buffer.from(JSON.stringify(output));
    await this.store.commit({ conditions: [], writes: [{ ...progressKey(key, index), value }] });
  },
);

Then(
  'at {string} item {int} resumes after event {string} and the others start from the beginning',
  async function (this: JobsWorld, host: string, index: number, event: string) {
    const held = await openJob(this, host);
    held.tasks.forEach(({ response }, each) =>
      assert.equal(response.lastEventId, each === index ? event : undefined),
    );
  },
);

Then(
  'at {string} all items start from the beginning',
  async function (this: JobsWorld, host: string) {
    applyStoreChanges(this, host);
    const held = await openJob(this, host);
    held.tasks.forEach(({ response }) => assert.equal(response.lastEventId, undefined));
  },
);

When(
  '{string} outputs events {int} to {int} of item {int} and stores its result',
  async function (this: JobsWorld, _host: string, first: number, last: number, index: number) {
    const task = this.held!.tasks.get(index)!;
    writeEvents(task, eventTexts(first, last), first);
    this.held!.finish(task, 'completed');
    await this.held!.waitForWrites();
  },
);

When(
  '{string} finishes item {int} and stops while the store is unavailable for {int} ms',
  async function (this: JobsWorld, host: string, index: number, unavailableMs: number) {
    const held = await openJob(this, host);
    const task = held.tasks.get(index)!;
    writeEvents(task, [`output ${index}`]);
    this.store.down = true;
    held.finish(task, 'completed');
    setTimeout(() => {
      this.store.down = false;
    }, unavailableMs);
    await held.handOver(performance.now() + STOP_TIMEOUT_MS);
  },
);

When('{string} removes the job', async function (this: JobsWorld, host: string) {
  const { jobCache, jobs } = this.hosts.get(host)!;
  await jobs.remove(jobCache.find(ACCOUNT, this.job)!);
});

Then('the store holds no saved output of unfinished items', function (this: JobsWorld) {
  assert.equal(this.store.countRows(PROGRESS_TABLE), 0);
});

When('{string} takes over the job', async function (this: JobsWorld, host: string) {
  applyStoreChanges(this, host);
  await this.hosts
    .get(host)!
    .jobs.update(ACCOUNT, this.job, (record) => ({ ...record, holder: [host, 1] }));
});

const endJob = (world: JobsWorld, host: string): Promise<Result<boolean, Refusal>> => {
  const { jobs, clock } = world.hosts.get(host)!;
  return jobs.end(ACCOUNT, world.job, clock.abortAfter(CALLER_WAIT_MS));
};

When('the caller ends the job at {string}', async function (this: JobsWorld, host: string) {
  assert.deepEqual(await endJob(this, host), ok(true));
});

When('a caller tries to end the job at {string}', async function (this: JobsWorld, host: string) {
  const ended = await endJob(this, host);
  this.responses.push(ended.map(() => undefined));
});

When(
  '{string} stores the result of item {int}',
  async function (this: JobsWorld, host: string, index: number) {
    await appendResult(this, host, index, `output ${index}`);
  },
);

When(
  '{string} stores the result of item {int} and learns of it from the store before repeating the write',
  async function (this: JobsWorld, host: string, index: number) {
    await appendResult(this, host, index, `output ${index}`, async (held) => {
      // The write is applied once its promise chain has settled.
      await setImmediate();
      applyStoreChanges(this, host);
      held.applyState(this.hosts.get(host)!.jobCache.find(ACCOUNT, this.job)!);
    });
  },
);

When(
  '{string} stores an output of {int} bytes for item {int}',
  async function (this: JobsWorld, host: string, bytes: number, index: number) {
    await appendResult(this, host, index, 'x'.repeat(bytes));
  },
);

Then(/^(?:both are|the caller is) told that it is accepted$/, function (this: JobsWorld) {
  assert.ok(this.responses.every((response) => response.isOk()));
});

Then('the caller is refused with {string}', function (this: JobsWorld, code: string) {
  const response = this.responses.at(-1)!;
  assert.equal(response.isErr() && response.error.code, code);
});

Then(
  'the store holds {int} job, held by {string}',
  function (this: JobsWorld, count: number, host: string) {
    applyStoreChanges(this, host);
    assert.equal(this.store.countRows(JOBS_TABLE), count);
    const known = this.hosts.get(host)!.jobCache.find(ACCOUNT, this.job)!;
    assert.deepEqual(known.record.holder, [host, 1]);
  },
);

Then('the store holds {int} jobs', function (this: JobsWorld, count: number) {
  assert.equal(this.store.countRows(JOBS_TABLE), count);
});

const readResults = async (world: JobsWorld, host: string) => {
  applyStoreChanges(world, host);
  const { jobCache, jobs } = world.hosts.get(host)!;
  const job = jobCache.find(ACCOUNT, world.job)!;
  const results = await jobs.readResults(job, 0, new AbortController().signal);
  assert.ok(results.isOk());
  return results.value;
};

Then(
  /^"([^"]+)" reads the results of items ([\d, ]+)$/,
  async function (this: JobsWorld, host: string, indexes: string) {
    const results = await readResults(this, host);
    assert.deepEqual(
      results.map(({ item, text }) => [item, text]),
      indexes.split(', ').map((index) => [`item-${index}`, `output ${index}`]),
    );
  },
);

Then(
  '{string} reads events {int} to {int} as the result of item {int}',
  async function (this: JobsWorld, host: string, first: number, last: number, index: number) {
    const results = await readResults(this, host);
    assert.deepEqual(results, [
      { item: `item-${index}`, state: 'completed', text: eventTexts(first, last).join('\n') },
    ]);
  },
);

Then(
  '{string} reads an output of {int} bytes',
  async function (this: JobsWorld, host: string, bytes: number) {
    const [result] = await readResults(this, host);
    assert.equal(result?.text.length, bytes);
  },
);
