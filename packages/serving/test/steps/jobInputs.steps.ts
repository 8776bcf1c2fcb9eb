import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { MemoryObjects } from '@jacinthlug/batch/testing/MemoryObjects';
import { INPUTS_TABLE, JOBS_TABLE } from '@jacinthlug/serving/batch/jobKeys';
import type { JobInput } from '@jacinthlug/serving/batch/JobRecord';
import { ResultAsync } from 'neverthrow';
import { applyJobRows, createJobHost } from '../fakes/createJobHost.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const ACCOUNT = 'fitters';

const JOB = 'j-1';

/** Size of content that fits into a row. Unit: bytes. */
const SMALL_BYTES = 200;

interface JobInputsWorld {
  store: MemoryRecordStore;
  objects: MemoryObjects;
  items: JobInput;
  isAccepted: boolean;
  refusal: string | undefined;
}

/** Creates items whose content takes a number of bytes. */
const createItems = (bytes: number): JobInput => {
  const create = (body: string): JobInput => [
    { id: 'item-0', path: '/x/', headers: {}, body, tokens: 100 },
  ];
  return create('é'.repeat(3).padEnd(bytes - JSON.stringify(create('')).length - 3, 'x'));
};

/** An object store that stores an object some time after the call, unless that is aborted before. */
class SlowObjects extends MemoryObjects {
  private readonly stored: Promise<void>[] = [];

  constructor(private readonly delayMs: number) {
    super();
  }

  override put(name: string, body: Uint8Array | string, signal?: AbortSignal) {
    const waiting = sleep(this.delayMs, undefined, { signal });
    this.stored.push(waiting.catch(() => undefined));
    return ResultAsync.fromPromise(waiting, () => ({
      kind: 'unavailable' as const,
      message: 'aborted',
    })).andThen(() => super.put(name, body));
  }

  /** Waits for the responses to all calls. */
  async waitForResponses(): Promise<void> {
    await Promise.all(this.stored);
  }
}

const createSubmission = (items: JobInput) => ({
  id: JOB,
  account: ACCOUNT,
  route: 'r',
  host: 'x.example',
  items,
  configuration: 1,
  waitingTokens: 0,
});

const createStore = (world: JobInputsWorld) => {
  const { store, objects } = world;
  const { jobCache, jobs } = createJobHost({ store, objects });
  applyJobRows(store, jobCache);
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
    const { signal } = new AbortController();
    const submission = createSubmission(this.items);
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
  const input = await jobs.loadInput(find());
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

Given('the object store responds after {int} ms', function (this: JobInputsWorld, delayMs: number) {
  openStore(this, SMALL_BYTES);
  this.objects = new SlowObjects(delayMs);
});

When(
  'a job with {int} bytes of content is submitted, whose caller waits for {int} ms',
  async function (this: JobInputsWorld, bytes: number, waitMs: number) {
    this.items = createItems(bytes);
    const submission = createSubmission(this.items);
    const signal = AbortSignal.timeout(waitMs);
    const accepted = await createStore(this).jobs.accept(submission, ['h-1', 1], signal);
    this.refusal = accepted.isErr() ? accepted.error.code : undefined;
  },
);

Then('its caller is refused with {string}', function (this: JobInputsWorld, code: string) {
  assert.equal(this.refusal, code);
});

Then(
  'the job is accepted once it is submitted again after the response of the object store',
  async function (this: JobInputsWorld) {
    await (this.objects as SlowObjects).waitForResponses();
    // The write of the job follows.
    await sleep(20);
    const { signal } = new AbortController();
    const submission = createSubmission(this.items);
    const commits = this.store.commitCount;
    const accepted = await createStore(this).jobs.accept(submission, ['h-2', 1], signal);
    assert.ok(accepted.isOk());
    assert.equal(this.store.commitCount, commits);
    assert.equal(this.store.countRows(JOBS_TABLE), 1);
    await readContent(this);
  },
);
