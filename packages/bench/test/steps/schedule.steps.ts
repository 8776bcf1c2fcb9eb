import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AccountTraffic } from '../../src/experiment/experiment.js';
import { markWithinRate, type RateLimit } from '../../src/schedule/markWithinRate.js';
import { planSends, type SchedulePlan, type Send } from '../../src/schedule/planSends.js';

interface Scenario {
  plan: SchedulePlan;
  changed: SchedulePlan;
  limit: RateLimit;
  within: boolean[];
}

const trafficAt = (rate: number): AccountTraffic => ({
  rate,
  promptTokens: { min: 5, max: 20 },
  outputTokens: { min: 5, max: 20 },
  sharedPrefix: 0.5,
  entries: ['entry-1', 'entry-2'],
});

const change = (plan: SchedulePlan, account: string, traffic: Partial<AccountTraffic>) => ({
  ...plan,
  accounts: {
    ...plan.accounts,
    [account]: { ...trafficAt(1), ...plan.accounts[account], ...traffic },
  },
});

const sendsOf = (plan: SchedulePlan, account: string): Send[] =>
  planSends(plan).filter((send) => send.account === account);

const assertNear = (actual: number, wanted: number, tolerance: number): void =>
  assert.ok(Math.abs(actual - wanted) <= tolerance, `${actual} is not near ${wanted}`);

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
    const accounts = { [first]: trafficAt(firstRate), [second]: trafficAt(secondRate) };
    this.plan = { seed, durationMs: seconds * 1000, accounts };
    this.changed = this.plan;
  },
);

When('{string} sends {int} per second', function (this: Scenario, account: string, rate: number) {
  this.changed = change(this.plan, account, { rate });
});

When(
  '{string} sends bursts of {int} per second for {int} ms in every {int} ms',
  function (this: Scenario, account: string, rate: number, lengthMs: number, everyMs: number) {
    this.changed = change(this.plan, account, { bursts: { rate, lengthMs, everyMs } });
  },
);

Then('the same plan gives the same schedule', function (this: Scenario) {
  assert.deepEqual(planSends(structuredClone(this.plan)), planSends(this.plan));
});

Then('seed {int} gives another schedule', function (this: Scenario, seed: number) {
  assert.notDeepEqual(planSends({ ...this.plan, seed }), planSends(this.plan));
});

Then('the requests of {string} are the same', function (this: Scenario, account: string) {
  assert.deepEqual(sendsOf(this.changed, account), sendsOf(this.plan, account));
});

Then(
  '{string} sends {int} requests, give or take {int}',
  function (this: Scenario, account: string, count: number, tolerance: number) {
    assertNear(sendsOf(this.changed, account).length, count, tolerance);
  },
);

Then(
  'the gaps of {string} vary as much as their mean, give or take a tenth',
  function (this: Scenario, account: string) {
    const times = sendsOf(this.plan, account).map(({ atMs }) => atMs);
    const gaps = times.slice(1).map((atMs, index) => atMs - (times[index] ?? 0));
    const mean = gaps.reduce((sum, gap) => sum + gap, 0) / gaps.length;
    const variance = gaps.reduce((sum, gap) => sum + (gap - mean) ** 2, 0) / gaps.length;
    assertNear(Math.sqrt(variance) / mean, 1, 0.1);
  },
);

Then(
  'of those of {string} {int} fall into bursts, give or take {int}',
  function (this: Scenario, account: string, count: number, tolerance: number) {
    const { lengthMs = 0, everyMs = 1 } = this.changed.accounts[account]?.bursts ?? {};
    const inBursts = sendsOf(this.changed, account).filter(
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
  const sends = times.split(', ').map((time) => ({
    atMs: Number(time),
    account: 'web',
    entry: 'entry-1',
    prompt: '',
    outputTokens: 1,
  }));
  this.within = markWithinRate(sends, () => this.limit);
});

Then(/^within its rate are: (.+)$/, function (this: Scenario, answers: string) {
  assert.deepEqual(
    this.within,
    answers.split(', ').map((answer) => answer === 'yes'),
  );
});
