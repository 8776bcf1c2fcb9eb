import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import type { Submission } from '../../src/JobStore.js';
import { queuePartition } from '../../src/rows/rowKeys.js';
import type { FileRecord } from '../../src/rows/rows.js';
import { BatchBench, inputLine, MODEL } from '../fakes/BatchBench.js';
import { unwrap } from '../fakes/unwrap.js';

interface Scenario {
  bench: BatchBench;
  file: FileRecord;
  /** Ids of accepted jobs and kinds of failures, in order of submission. */
  submissionOutcomes: string[];
}

const DAY_MS = 86_400_000;

Before(function (this: Scenario) {
  this.bench = new BatchBench();
  this.submissionOutcomes = [];
});

/** Runs an action when the input of a submission is opened. */
const runAfterInputRead = (
  { bench: { objects } }: Scenario,
  action: () => Promise<unknown>,
): void => {
  const open = objects.open.bind(objects);
  const openAfterwards: typeof open = (name) =>
    open(name).map(async (stream) => {
      await action();
      return stream;
    });
  Object.assign(objects, { open: openAfterwards });
};

const faults: Readonly<Record<string, (scenario: Scenario) => unknown>> = {
  'nothing fails': () => undefined,
  'responses are lost': ({ bench }) => Object.assign(bench.table, { losesAnswer: () => true }),
  'no write is retried': ({ bench }) =>
    Object.assign(bench.table, { losesAnswer: () => true, settleGivesUp: true }),
  'the table fails after a read': (scenario) =>
    runAfterInputRead(scenario, async () => Object.assign(scenario.bench.table, { down: true })),
  'the file is deleted on read': (scenario) =>
    runAfterInputRead(scenario, async () =>
      unwrap(await scenario.bench.files.remove(scenario.file, Infinity)),
    ),
};

const submit = async (scenario: Scenario, extra: Partial<Submission>): Promise<void> => {
  const result = await scenario.bench.submit(scenario.file, extra);
  scenario.submissionOutcomes.push(result.isOk() ? result.value.job.id : result.error.kind);
};

Given(/^an empty platform where (.*)$/, function (this: Scenario, fault: string) {
  const inject = faults[fault];
  assert.ok(inject, fault);
  inject(this);
});

When(/^these submissions are made: (.*)$/, async function (this: Scenario, text: string) {
  for (const phrase of text.split('; ')) {
    const lines = Array.from({ length: Number(phrase[0]) }, (_, index) => inputLine(`${index}`));
    if (!phrase.includes(' again')) this.file = await this.bench.upload(lines);
    if (phrase.endsWith(' a day later')) await this.bench.time.advance(DAY_MS);
    const [, idempotencyKey] = / with key (\w+)/.exec(phrase) ?? [];
    const extra = idempotencyKey === undefined ? {} : { idempotencyKey };
    const count = phrase.endsWith(' twice at once') ? 2 : 1;
    await Promise.all(Array.from({ length: count }, () => submit(this, extra)));
  }
});

Then(/^their outcomes are: (.*)$/, function (this: Scenario, outcomes: string) {
  const described = this.submissionOutcomes.map((outcome, index) => {
    if (!outcome.startsWith('batch_')) return outcome;
    const first = this.submissionOutcomes.indexOf(outcome);
    return first === index ? 'new job' : `job ${first + 1}`;
  });
  assert.equal(described.join(', '), outcomes);
});

Then('the queue holds {int} jobs', async function (this: Scenario, count: number) {
  this.bench.table.down = false;
  const rows = await this.bench.table.query({ pk: queuePartition(MODEL) });
  assert.equal(unwrap(rows).length, count);
});
