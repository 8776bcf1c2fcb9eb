import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryObjects } from '@jacinthlug/batch/testing/MemoryObjects';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { JobCache } from '@jacinthlug/serving/batch/JobCache';
import { INPUTS_TABLE, JOBS_TABLE } from '@jacinthlug/serving/batch/jobKeys';
import type { JobInput } from '@jacinthlug/serving/batch/JobRecord';
import { JobStore } from '@jacinthlug/serving/batch/JobStore';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const ACCOUNT = 'fitters';

const JOB = 'j-1';

interface JobInputsWorld {
  store: MemoryRecordStore;
  objects: MemoryObjects;
  items: JobInput;
  isAccepted: boolean;
}

/** Creates items whose content takes a number of bytes. */
const createItems = (bytes: number): JobInput => {
  const create = (body: string): JobInput => [
    { id: 'item-0', path: '/x/', headers: {}, body, tokens: 100 },
  ];
  return create('é'.repeat(3).padEnd(bytes - JSON.stringify(create('')).length - 3, 'x'));
};

const createStore = (world: JobInputsWorld) => {
  const { store, objects } = world;
  const jobCache = new JobCache(silentJournal);
  store.changes.forEach((change) => {
    if (change.kind === 'written' && change.record.table === JOBS_TABLE)
      jobCache.applyRecord(change.record);
  });
  const jobs = new JobStore({ store, objects, jobCache, journal: silentJournal });
  return { jobs, find: () => jobCache.find(ACCOUNT, JOB)! };
};

const openStore = (world: JobInputsWorld, bytes: number): void => {
  Object.assign(world, {
    store: new MemoryRecordStore(),
    objects: new MemoryObjects(),
    items: createItems(bytes),
  });
  assert.equal(Buffer.byteLength(JSON.stringify(world.items)), bytes);
};

When(
  /^a job with (\d+) bytes of content is submitted while the object store is (up|down)$/,
  async function (this: JobInputsWorld, bytes: string, state: string) {
    openStore(this, Number(bytes));
    this.objects.down = state === 'down';
    const submission = {
      id: JOB,
      account: ACCOUNT,
      route: 'r',
      host: 'x.example',
      items: this.items,
      waitingTokens: 0,
    };
    const { signal } = new AbortController();
    const accepted = await createStore(this).jobs.accept(submission, ['h-1', 1], signal);
    this.isAccepted = accepted.isOk();
  },
);

Given(
  'a job whose content of {int} bytes was stored as an object',
  async function (this: JobInputsWorld, bytes: number) {
    openStore(this, bytes);
    const name = 'jobs-j-1-0d4c';
    await this.objects.put(name, JSON.stringify(this.items));
    const record = {
      id: JOB,
      account: ACCOUNT,
      route: 'r',
      host: 'x.example',
      submittedAt: 0,
      items: [['item-0', 100]],
      input: name,
      holder: null,
      listed: [],
      endedAt: null,
    };
    const key = { table: JOBS_TABLE, partition: 'p0', key: `${ACCOUNT}/${JOB}` };
    await this.store.commit({
      conditions: [],
      writes: [{ ...key, value: Buffer.from(JSON.stringify(record)) }],
    });
  },
);

Then(/^the job is accepted: (yes|no)$/, function (this: JobInputsWorld, expected: string) {
  assert.equal(this.isAccepted, expected === 'yes');
  assert.equal(this.store.countRows(JOBS_TABLE), expected === 'yes' ? 1 : 0);
});

const readContent = async (world: JobInputsWorld): Promise<void> => {
  const { jobs, find } = createStore(world);
  const input = await jobs.loadInput(find().record);
  assert.deepEqual(input.unwrapOr(undefined), world.items);
};

Then('another host reads the content as it was submitted', function (this: JobInputsWorld) {
  return readContent(this);
});

Then('if so, another host reads the content as it was submitted', function (this: JobInputsWorld) {
  return this.isAccepted ? readContent(this) : undefined;
});

Then(
  'nothing of the content is left once the job is removed',
  async function (this: JobInputsWorld) {
    const { jobs, find } = createStore(this);
    if (this.isAccepted) await jobs.remove(find());
    assert.equal(this.store.countRows(INPUTS_TABLE), 0);
    assert.equal(this.objects.contents.size, 0);
  },
);
