import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AccountTraffic } from '../../src/experiment/experiment.js';
import { markWithinRate, type RateLimit } from '../../src/schedule/markWithinRate.js';
import {
  planRequests,
  type ScheduleOptions,
  type ScheduledRequest,
} from '../../src/schedule/planRequests.js';

interface Scenario {
  plan: ScheduleOptions;
  changed: ScheduleOptions;
  limit: RateLimit;
  within: boolean[];
}

const createTraffic = (rate: number): AccountTraffic => ({
  rate,
  promptTokens: { min: 5, max: 20 },
  outputTokens: { min: 5, max: 20 },
  sharedPrefix: 0.5,
  entries: ['entry-1', 'entry-2'],
});

const changeTraffic = (
  plan: ScheduleOptions,
  account: string,
  traffic: Partial<AccountTraffic>,
) => ({
  ...plan,
  accounts: {
    ...plan.accounts,
    [account]: { ...createTraffic(1), ...plan.accounts[account], ...traffic },
  },
});

const planAccountRequests = (plan: ScheduleOptions, account: string): ScheduledRequest[] =>
  planRequests(plan).filter((request) => request.account === account);

const assertNear = (actual: number, expected: number, tolerance: number): void =>
  assert.ok(Math.abs(actual - expected) <= tolerance, `${actual} is not near ${expected}`);

Given(
  'a schedule of {int} s with seed {int}, {string} at {int} per second and {string} at {int} per second',
  function (
    this: Scenario,
    seconds: number,
    seed: number,
    first: string,
    firstRate: number,
    second: string,
    secondRate: number,
  ) {
    const accounts = { [first]: createTraffic(firstRate), [second]: createTraffic(secondRate) };
    this.plan = { seed, durationMs: seconds * 1000, accounts };
    this.changed = this.plan;
  },
);

When('{string} sends {int} per second', function (this: Scenario, account: string, rate: number) {
  this.changed = changeTraffic(this.plan, account, { rate });
});

When(
  '{string} sends bursts of {int} per second for {int} ms in every {int} ms',
  function (this: Scenario, account: string, rate: number, lengthMs: number, everyMs: number) {
    this.changed = changeTraffic(this.plan, account, { bursts: { rate, lengthMs, everyMs } });
  },
);

Then('the same plan produces the same schedule', function (this: Scenario) {
  assert.deepEqual(planRequests(structuredClone(this.plan)), planRequests(this.plan));
});

Then('seed {int} produces another schedule', function (this: Scenario, seed: number) {
  assert.notDeepEqual(planRequests({ ...this.plan, seed }), planRequests(this.plan));
});

Then('the requests of {string} are the same', function (this: Scenario, account: string) {
  assert.deepEqual(
    planAccountRequests(this.changed, account),
    planAccountRequests(this.plan, account),
  );
});

Then(
  '{string} sends {int} requests, plus or minus {int}',
  function (this: Scenario, account: string, count: number, tolerance: number) {
    assertNear(planAccountRequests(this.changed, account).length, count, tolerance);
  },
);

Then(
  'the standard deviation of the gaps of {string} is within a tenth of their mean',
  function (this: Scenario, account: string) {
    const times = planAccountRequests(this.plan, account).map(({ atMs }) => atMs);
    const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
    const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const variance = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / gaps.length;
    assertNear(Math.sqrt(variance) / mean, 1, 0.1);
  },
);

Then(
  '{string} sends {int} of its requests in bursts, plus or minus {int}',
  function (this: Scenario, account: string, count: number, tolerance: number) {
    const { lengthMs = 0, everyMs = 1 } = this.changed.accounts[account]?.bursts ?? {};
    const inBursts = planAccountRequests(this.changed, account).filter(
      ({ atMs }) => atMs >= everyMs && atMs % everyMs < lengthMs,
    );
    assertNear(inBursts.length, count, tolerance);
  },
);

Given(
  'an account with rate {int} per second and burst {int}',
  function (this: Scenario, rate: number, burst: number) {
    this.limit = { rate, burst };
  },
);

When(/^it sends at ([\d, ]+) ms$/, function (this: Scenario, times: string) {
  const requests = times.split(', ').map((time) => ({
    atMs: Number(time),
    account: 'web',
    entry: 'entry-1',
    prompt: '',
    outputTokens: 1,
  }));
  this.within = markWithinRate(requests, () => this.limit);
});

Then(/^within its rate are: (.+)$/, function (this: Scenario, values: string) {
  assert.deepEqual(
    this.within,
    values.split(', ').map((value) => value === 'yes'),
  );
});
