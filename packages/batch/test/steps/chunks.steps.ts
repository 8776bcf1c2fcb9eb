import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Result } from 'neverthrow';
import type { Claim, ClaimFailure, FreeChunk } from '../../src/ChunkStore.js';
import { resultId, type ResultLine } from '../../src/results/resultLine.js';
import { queuePartition } from '../../src/rows/rowKeys.js';
import type { Job } from '../../src/rows/rows.js';
import { inputLine, MODEL, type BatchBench } from '../fakes/BatchBench.js';
import { unwrap } from '../fakes/unwrap.js';

interface Scenario {
  bench: BatchBench;
  input: string[];
  job: Job;
  claims: Map<string, Result<Claim, ClaimFailure>>;
  commits: Map<string, Result<void, ClaimFailure>>;
}

const ITEMS_PER_CHUNK = 100;

const claimOf = ({ claims }: Scenario, name: string): Claim => {
  const claim = claims.get(name);
  assert.ok(claim);
  return unwrap(claim);
};

const outcomeOf = (result: Result<unknown, ClaimFailure> | undefined, done: string): string => {
  assert.ok(result);
  return result.isOk() ? done : result.error.kind;
};

const findChunk = async ({ bench, job }: Scenario, index: number): Promise<FreeChunk> => {
  const { chunks } = unwrap(await bench.jobs.report(job.id));
  const former = chunks.find((chunk) => chunk.index === index);
  return former ? { job, index, former } : { job, index };
};

/** Results that tell which holder made them. */
const resultsOf = ({ input }: Scenario, { job, index }: Claim, holder: string): ResultLine[] =>
  input.slice(index * ITEMS_PER_CHUNK, (index + 1) * ITEMS_PER_CHUNK).map((line, item) => ({
    id: resultId(job.id, index, item),
    custom_id: (JSON.parse(line) as { custom_id: string }).custom_id,
    response: { status_code: 200, request_id: holder, body: {} },
    error: null,
  }));

const claimChunk = async (scenario: Scenario, name: string, chunk: FreeChunk): Promise<void> => {
  const holder = { incarnation: name, address: `127.0.0.1:${name.length}` };
  scenario.claims.set(name, await scenario.bench.chunks.claim(chunk, holder));
};

const commitChunk = async (scenario: Scenario, name: string): Promise<void> => {
  const claim = claimOf(scenario, name);
  const lines = resultsOf(scenario, claim, name);
  scenario.commits.set(name, await scenario.bench.chunks.commit(claim, lines));
};

Given('an accepted job of {int} items', async function (this: Scenario, count: number) {
  this.claims = new Map();
  this.commits = new Map();
  this.input = Array.from({ length: count }, (_, index) => inputLine(`item-${index}`));
  this.job = await this.bench.acceptJob(this.input);
});

When('{string} claims chunk {int}', async function (this: Scenario, name: string, index: number) {
  await claimChunk(this, name, await findChunk(this, index));
});

When(
  '{string} and {string} claim chunk {int} at once',
  async function (this: Scenario, first: string, second: string, index: number) {
    const chunk = await findChunk(this, index);
    await Promise.all([claimChunk(this, first, chunk), claimChunk(this, second, chunk)]);
  },
);

When('{string} commits chunk {int}', async function (this: Scenario, name: string, index: number) {
  assert.equal(claimOf(this, name).index, index);
  await commitChunk(this, name);
});

When('{string} renews chunk {int}', async function (this: Scenario, name: string, _index: number) {
  unwrap(await this.bench.chunks.renew(claimOf(this, name)));
});

When(
  '{string} releases chunk {int}',
  async function (this: Scenario, name: string, _index: number) {
    unwrap(await this.bench.chunks.release(claimOf(this, name)));
  },
);

When('{string} records item {int}', async function (this: Scenario, name: string, item: number) {
  unwrap(await this.bench.chunks.recordRunning(claimOf(this, name), item));
});

When('{int} seconds pass', async function (this: Scenario, seconds: number) {
  await this.bench.time.advance(seconds * 1000);
});

When(
  'the renewal of {string} lands after its next one, {int} seconds later',
  async function (this: Scenario, name: string, seconds: number) {
    const { chunks, table, time } = this.bench;
    let land: () => void = () => undefined;
    const held = new Promise<void>((resolve) => {
      land = resolve;
    });
    table.beforeWrite = () => held;
    const late = chunks.renew(claimOf(this, name));
    table.beforeWrite = undefined;
    await time.advance(seconds * 1000);
    unwrap(await chunks.renew(claimOf(this, name)));
    land();
    await late;
  },
);

When('the job is cancelled', async function (this: Scenario) {
  unwrap(await this.bench.jobs.cancel(this.job.id, Infinity));
});

When(
  'the job is cancelled while {string} commits chunk {int}',
  async function (this: Scenario, name: string, _index: number) {
    const { table, jobs } = this.bench;
    table.beforeWrite = async () => {
      table.beforeWrite = undefined;
      unwrap(await jobs.cancel(this.job.id, Infinity));
    };
    await commitChunk(this, name);
  },
);

Then('one of them holds chunk {int}', function (this: Scenario, _index: number) {
  const outcomes = [...this.claims.values()].map((claim) => outcomeOf(claim, 'claimed'));
  assert.deepEqual(outcomes.sort(), ['claimed', 'lost']);
});

Then('the claim of {string} is {string}', function (this: Scenario, name: string, kind: string) {
  assert.equal(outcomeOf(this.claims.get(name), 'claimed'), kind);
});

Then('the commit of {string} is {string}', function (this: Scenario, name: string, kind: string) {
  assert.equal(outcomeOf(this.commits.get(name), 'committed'), kind);
});

Then(
  '{string} has chunk {int} with fencing {int} and {int} lost holders',
  function (this: Scenario, name: string, index: number, fencing: number, lapses: number) {
    const claim = claimOf(this, name);
    assert.deepEqual([claim.index, claim.fencing, claim.lapses], [index, fencing, lapses]);
  },
);

Then('{string} knows the crashed items {string}', function (this: Scenario, name, items) {
  assert.equal(claimOf(this, String(name)).crashed.join(', '), items);
});

Then(
  'the results of chunk {int} are those of {string}',
  async function (this: Scenario, index: number, name: string) {
    const visible = await this.bench.readResults(this.job.id, 'output');
    assert.deepEqual(visible, resultsOf(this, claimOf(this, name), name));
    assert.equal(claimOf(this, name).index, index);
  },
);

Then('no results are visible', async function (this: Scenario) {
  assert.deepEqual(await this.bench.readResults(this.job.id, 'output'), []);
  assert.deepEqual(await this.bench.readResults(this.job.id, 'error'), []);
});

Then('all items are visible once', async function (this: Scenario) {
  await this.bench.checkExactlyOnce(this.job.id, this.input, () => false);
});

Then('the job is {string} and out of the queue', async function (this: Scenario, state: string) {
  assert.equal(unwrap(await this.bench.jobs.get(this.job.id)).state, state);
  const queued = await this.bench.table.query({ pk: queuePartition(MODEL) });
  assert.deepEqual(unwrap(queued), []);
});
