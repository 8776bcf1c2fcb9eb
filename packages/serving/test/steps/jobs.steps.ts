import assert from 'node:assert/strict';
import { setImmediate } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryObjects } from '@jacinthlug/batch/testing/MemoryObjects';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import { HeldJob } from '@jacinthlug/serving/batch/HeldJob';
import { ItemTask } from '@jacinthlug/serving/batch/ItemTask';
import { JobCache } from '@jacinthlug/serving/batch/JobCache';
import { JOBS_TABLE, PROGRESS_TABLE } from '@jacinthlug/serving/batch/jobKeys';
import { JobStore } from '@jacinthlug/serving/batch/JobStore';
import { ProgressStore } from '@jacinthlug/serving/batch/ProgressStore';
import type { Result } from 'neverthrow';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const TOKENS_PER_ITEM = 100;

interface JobHost {
  readonly book: JobCache;
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
}

interface JobsWorld {
  store: MemoryRecordStore;
  hosts: Map<string, JobHost>;
  limit: number;
  responses: Result<void, Refusal>[];
  job: string;
  held: HeldJob | undefined;
}

/** Time that a stopping host has. Unit: ms. */
const STOP_TIMEOUT_MS = 5000;

const ACCOUNT = 'fitters';

const createItem = (index: number) => ({
  id: `item-${index}`,
  path: '/x/',
  headers: {},
  body: '',
  tokens: TOKENS_PER_ITEM,
});

/** Time as the store's calls see it: it jumps ahead with each wait. */
const createSkippingClock = () => {
  let time = 0;
  return {
    now: () => time,
    async sleep(ms: number) {
      time += ms;
    },
  };
};

const submit = async (world: JobsWorld, id: string, items: number, host: string): Promise<void> => {
  Object.assign(world, { job: id });
  const answer = await world.hosts.get(host)!.jobs.accept(
    {
      id,
      account: ACCOUNT,
      route: 'r',
      host: 'x.example',
      items: Array.from({ length: items }, (_, index) => createItem(index)),
      waitingTokens: world.limit,
    },
    [host, 1],
  );
  world.responses.push(answer);
};

/** Lets a host take what the store has. */
const applyStoreChanges = (world: JobsWorld, host: string): void => {
  const { book } = world.hosts.get(host)!;
  world.store.changes.forEach((change) => {
    if (change.kind === 'written' && change.record.table === JOBS_TABLE)
      book.applyRecord(change.record);
  });
};

const openJob = async (world: JobsWorld, host: string): Promise<HeldJob> => {
  const { book, jobs, progress } = world.hosts.get(host)!;
  const known = book.find(ACCOUNT, world.job)!;
  const input = known.record.items.map((_, each) => createItem(each));
  const terms = { attempts: 3, completionTargetMs: 1000, retentionMs: 60_000 };
  const needs = { jobs, progress, journal: silentJournal, holder: [host, 1] as const };
  const held = new HeldJob(known, terms, input, needs);
  const outputs = await progress.load(known.record);
  assert.ok(outputs.isOk());
  held.resume(outputs.value);
  Object.assign(world, { held });
  return held;
};

/** Lets an item put out one event for each text. */
const writeEvents = (task: ItemTask, texts: readonly string[], first = 1): void => {
  task.response.begin(200);
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

Given(
  'hosts {string} and {string} with a store',
  function (this: JobsWorld, first: string, second: string) {
    this.store = new MemoryRecordStore();
    this.limit = 0;
    this.responses = [];
    const objects = new MemoryObjects();
    this.hosts = new Map(
      [first, second].map((name) => {
        const book = new JobCache(silentJournal);
        const { store } = this;
        const needs = {
          store,
          objects,
          book,
          journal: silentJournal,
          clock: createSkippingClock(),
        };
        const progress = new ProgressStore(needs);
        return [name, { book, jobs: new JobStore(needs), progress }];
      }),
    );
  },
);

Given('accounts may have {int} tokens waiting', function (this: JobsWorld, limit: number) {
  this.limit = limit;
});

When('the store loses the answer to the next commit', function (this: JobsWorld) {
  this.store.faults.push('lost-answer');
});

Given(
  'the store answers none of the next {int} commits and applies them late',
  function (this: JobsWorld, count: number) {
    for (let index = 0; index < count; index += 1) this.store.faults.push('late');
  },
);

Given('the store is down', function (this: JobsWorld) {
  this.store.down = true;
});

When(
  'job {string} with {int} items arrives at {string}',
  async function (this: JobsWorld, id: string, items: number, host: string) {
    applyStoreChanges(this, host);
    await submit(this, id, items, host);
  },
);

When(
  'job {string} with {int} items arrives at {string}, which has not heard of it',
  async function (this: JobsWorld, id: string, items: number, host: string) {
    await submit(this, id, items, host);
  },
);

When('the store answers the next commit late', function (this: JobsWorld) {
  this.store.faults.push('late');
});

When('the late commit is applied', function (this: JobsWorld) {
  this.store.applyDelayedCommits();
});

When(
  '{string} puts out events {int} to {int} of item {int} and saves its progress',
  async function (this: JobsWorld, host: string, first: number, last: number, index: number) {
    const held = await openJob(this, host);
    writeEvents(held.tasks.get(index)!, eventTexts(first, last), first);
    await held.handOver(performance.now() + STOP_TIMEOUT_MS);
  },
);

Then(
  'at {string} item {int} goes on after event {string} and the others start anew',
  async function (this: JobsWorld, host: string, index: number, event: string) {
    const held = await openJob(this, host);
    held.tasks.forEach(({ response: answer }, each) =>
      assert.equal(answer.lastEventId, each === index ? event : undefined),
    );
  },
);

When(
  '{string} puts out events {int} to {int} of item {int} and lists its result',
  async function (this: JobsWorld, _host: string, first: number, last: number, index: number) {
    const task = this.held!.tasks.get(index)!;
    writeEvents(task, eventTexts(first, last), first);
    this.held!.finish(task, 'completed');
    await this.held!.waitForWrites();
  },
);

When(
  '{string} finishes item {int} and stops while the store is away for {int} ms',
  async function (this: JobsWorld, host: string, index: number, awayMs: number) {
    const held = await openJob(this, host);
    const task = held.tasks.get(index)!;
    writeEvents(task, [`output ${index}`]);
    this.store.down = true;
    held.finish(task, 'completed');
    setTimeout(() => {
      this.store.down = false;
    }, awayMs);
    await held.handOver(performance.now() + STOP_TIMEOUT_MS);
  },
);

When('{string} removes the job', async function (this: JobsWorld, host: string) {
  const { book, jobs } = this.hosts.get(host)!;
  await jobs.remove(book.find(ACCOUNT, this.job)!);
});

Then('the store holds no output of unfinished items', function (this: JobsWorld) {
  assert.equal(this.store.countRows(PROGRESS_TABLE), 0);
});

When('{string} takes the job over', async function (this: JobsWorld, host: string) {
  applyStoreChanges(this, host);
  await this.hosts
    .get(host)!
    .jobs.update(ACCOUNT, this.job, (record) => ({ ...record, holder: [host, 1] }));
});

When('the caller ends the job at {string}', async function (this: JobsWorld, host: string) {
  const ended = await this.hosts.get(host)!.jobs.end(ACCOUNT, this.job);
  assert.ok(ended.isOk() && ended.value);
});

When(
  '{string} lists the result of item {int}',
  async function (this: JobsWorld, host: string, index: number) {
    await appendResult(this, host, index, `output ${index}`);
  },
);

When(
  '{string} lists the result of item {int} and hears of it from the store before it repeats the write',
  async function (this: JobsWorld, host: string, index: number) {
    await appendResult(this, host, index, `output ${index}`, async (held) => {
      // The write has been applied when its promise chain has come to rest.
      await setImmediate();
      applyStoreChanges(this, host);
      held.applyState(this.hosts.get(host)!.book.find(ACCOUNT, this.job)!);
    });
  },
);

When(
  '{string} lists an output of {int} bytes for item {int}',
  async function (this: JobsWorld, host: string, bytes: number, index: number) {
    await appendResult(this, host, index, 'x'.repeat(bytes));
  },
);

Then(/^(?:both are|the caller is) told that it is accepted$/, function (this: JobsWorld) {
  assert.ok(this.responses.every((answer) => answer.isOk()));
});

Then('the caller is refused with {string}', function (this: JobsWorld, code: string) {
  const answer = this.responses.at(-1)!;
  assert.equal(answer.isErr() && answer.error.code, code);
});

Then(
  'the store holds {int} job, held by {string}',
  function (this: JobsWorld, count: number, host: string) {
    applyStoreChanges(this, host);
    assert.equal(this.store.countRows(JOBS_TABLE), count);
    const known = this.hosts.get(host)!.book.find(ACCOUNT, this.job)!;
    assert.deepEqual(known.record.holder, [host, 1]);
  },
);

Then('the store holds {int} jobs', function (this: JobsWorld, count: number) {
  assert.equal(this.store.countRows(JOBS_TABLE), count);
});

const readResults = async (world: JobsWorld, host: string) => {
  applyStoreChanges(world, host);
  const { book, jobs } = world.hosts.get(host)!;
  const results = await jobs.readResults(book.find(ACCOUNT, world.job)!.record, 0);
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
