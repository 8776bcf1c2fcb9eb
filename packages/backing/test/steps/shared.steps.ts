import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, setDefaultTimeout, Then, When } from '@cucumber/cucumber';
import { setFaults, type World } from './world.js';

const POLL_MS = 5;

/** Ends the wait of a scenario whose event does not come. */
const MAX_POLLS = 2000;

// Slow scenarios and a busy machine take longer than the default of 5 s.
setDefaultTimeout(60_000);

After(async function (this: World) {
  await Promise.all(this.closers.map((close) => close()));
});

Given(
  /^the (?:table service|object store|host list) has the faults (.*)$/,
  async function (this: World, faults: string) {
    await setFaults(this, faults);
  },
);

Then('the calls {string} are counted as {int}', function (this: World, name: string, by: number) {
  assert.equal(this.metrics.totals()[name], by);
});

When(
  'the calls {string} have become {int}',
  async function (this: World, name: string, by: number) {
    const count = (): number => this.metrics.totals()[name] ?? 0;
    for (let polls = 0; count() < by && polls < MAX_POLLS; polls += 1) await sleep(POLL_MS);
    assert.ok(count() >= by);
  },
);
