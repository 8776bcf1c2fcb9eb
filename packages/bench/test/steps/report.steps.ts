import assert from 'node:assert/strict';
import { Given, Then, type DataTable } from '@cucumber/cucumber';
import { experiment } from '../../src/experiment/experiment.js';
import type { Ending } from '../../src/load/sendChat.js';
import { computeDueShares } from '../../src/report/computeDueShares.js';
import { renderReport } from '../../src/report/renderReport.js';
import type { RunFigures } from '../../src/report/RunFigures.js';
import { summarizeRun } from '../../src/report/summarizeRun.js';
import type { MetricName } from '../../src/report/metrics.js';

interface Scenario {
  figures: RunFigures;
  runs?: Record<string, RunFigures[]>;
}

const parseNumbers = (table: DataTable): Record<string, number> =>
  Object.fromEntries(table.raw().map(([name = '', value]) => [name, Number(value)]));

Then('of {int} tokens the due shares are', function (capacity: number, table: DataTable) {
  const rows = table.hashes().map(({ account = '', weight, demand, due }) => ({
    account,
    weight: Number(weight),
    demand: Number(demand),
    due: Number(due),
  }));
  const expected = Object.fromEntries(rows.map(({ account, due }) => [account, due]));
  assert.deepEqual(Object.fromEntries(computeDueShares(rows, capacity)), expected);
});

Given('the requests', function (this: Scenario, table: DataTable) {
  const chats = table.hashes().map((row) => ({
    request: {
      atMs: 0,
      account: row.account ?? '',
      entry: 'entry-1',
      prompt: '',
      outputTokens: Number(row.asked),
    },
    isWithinRate: row.within === 'yes',
    outcome: {
      ending: row.ending as Ending,
      ...(row.code ? { code: row.code } : {}),
      tokens: Number(row.tokens),
      ...(row['first token'] ? { firstTokenMs: Number(row['first token']) } : {}),
      gapsMs: [],
      totalMs: 100,
      promptTokens: 0,
      cachedTokens: 0,
    },
  }));
  this.figures = summarizeRun({
    chats,
    sendLagsMs: [],
    jobs: [],
    items: { completed: 0, cancelled: 0 },
    windowMs: 1000,
    getWeight: () => 1,
  });
});

Then('the metrics are', function (this: Scenario, table: DataTable) {
  Object.entries(parseNumbers(table)).forEach(([name, expected]) => {
    const actual = this.figures.metrics[name as MetricName] ?? NaN;
    // The histogram records values with three significant digits.
    assert.ok(Math.abs(actual - expected) <= expected * 0.001, `${name} is ${actual}`);
  });
});

Then('the codes are', function (this: Scenario, table: DataTable) {
  assert.deepEqual(this.figures.codes, parseNumbers(table));
});

const createRounds = (values: readonly number[]): RunFigures[] =>
  values.map((firstTokenP99) => ({ metrics: { firstTokenP99 }, codes: {}, accounts: [] }));

Given(
  /^the rounds of "(.+)" have a first token 99th of ([\d, ]+)$/,
  function (this: Scenario, variant: string, values: string) {
    this.runs = { ...this.runs, [variant]: createRounds(values.split(', ').map(Number)) };
  },
);

Given('the rounds of {string} have no metrics', function (this: Scenario, variant: string) {
  this.runs = { ...this.runs, [variant]: [] };
});

Then('the report contains the line', function (this: Scenario, line: string) {
  const runs = this.runs ?? {};
  const variants = Object.fromEntries(Object.keys(runs).map((name) => [name, {}]));
  const text = renderReport({
    experiment: experiment.parse({
      name: 'short',
      question: '?',
      deployment: 'laminas',
      seed: 1,
      durationMs: 1000,
      accounts: {},
      variants,
    }),
    runs,
  });
  assert.ok(text.split('\n').includes(line), text);
});
