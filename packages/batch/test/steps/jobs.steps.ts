import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import type { Result } from 'neverthrow';
import type { Acceptance, AcceptFailure } from '../../src/JobStore.js';
import { BatchBench, inputLine, MODEL } from '../fakes/BatchBench.js';
import { queuePartition } from '../../src/rows/rowKeys.js';
import type { FileRecord } from '../../src/rows/rows.js';
import { unwrap, unwrapErr } from '../fakes/unwrap.js';

interface Scenario {
  bench: BatchBench;
  file: FileRecord;
  results: Result<Acceptance, AcceptFailure>[];
}

const DAY_MS = 86_400_000;

const linesOf = (count: number): string[] =>
  Array.from({ length: count }, (_, index) => inputLine(`item-${index}`));

Before(function (this: Scenario) {
  this.bench = new BatchBench();
  this.results = [];
});

Given(
  /^the table loses answers and (settles them|cannot settle)$/,
  function (this: Scenario, settling: string) {
    this.bench.table.losesAnswer = () => true;
    this.bench.table.settleGivesUp = settling === 'cannot settle';
  },
);

Given('the table goes down once the input is read', function (this: Scenario) {
  const { table, objects } = this.bench;
  const open = objects.open.bind(objects);
  objects.open = (name) => {
    table.down = true;
    return open(name);
  };
});

Given('the input file is deleted once the input is read', function (this: Scenario) {
  const { files, objects } = this.bench;
  const open = objects.open.bind(objects);
  objects.open = (name) =>
    open(name).map(async (stream) => {
      unwrap(await files.remove(this.file, Infinity));
      return stream;
    });
});

When('a job of {int} items is submitted', async function (this: Scenario, count: number) {
  this.file = await this.bench.upload(linesOf(count));
  this.results.push(await this.bench.submit(this.file));
});

When(
  'a job of {int} items is submitted with the key {string}',
  async function (this: Scenario, count: number, idempotencyKey: string) {
    this.file = await this.bench.upload(linesOf(count));
    this.results.push(await this.bench.submit(this.file, { idempotencyKey }));
  },
);

When('a job of {int} items is submitted twice at once', async function (this: Scenario, count) {
  this.file = await this.bench.upload(linesOf(Number(count)));
  const submissions = [this.bench.submit(this.file), this.bench.submit(this.file)];
  this.results = await Promise.all(submissions);
});

When('the same job is submitted again', async function (this: Scenario) {
  this.results.push(await this.bench.submit(this.file));
});

When('the same job is uploaded and submitted again', async function (this: Scenario) {
  const again = await this.bench.upload(linesOf(3));
  assert.notEqual(again.id, this.file.id);
  this.results.push(await this.bench.submit(again));
});

When(
  'the same job is submitted again with the key {string}',
  async function (this: Scenario, idempotencyKey: string) {
    this.results.push(await this.bench.submit(this.file, { idempotencyKey }));
  },
);

When('a day later the same job is submitted again', async function (this: Scenario) {
  await this.bench.time.advance(DAY_MS);
  this.results.push(await this.bench.submit(this.file));
});

Then('both submissions have the same job', function (this: Scenario) {
  const ids = this.results.map((result) => unwrap(result).job.id);
  assert.equal(ids.length, 2);
  assert.equal(ids[0], ids[1]);
});

Then('the queue holds {int} jobs', async function (this: Scenario, count: number) {
  this.bench.table.down = false;
  const rows = await this.bench.table.query({ pk: queuePartition(MODEL) });
  assert.equal(unwrap(rows).length, count);
});

Then('the last submission is refused as {string}', function (this: Scenario, kind: string) {
  const [last] = this.results.slice(-1);
  assert.ok(last);
  assert.equal(unwrapErr(last).kind, kind);
});
