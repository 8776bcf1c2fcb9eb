import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, setDefaultTimeout, Then, When } from '@cucumber/cucumber';
import { setFaults, type World } from './world.js';

const POLL_MS = 5;

/** Polls after which a scenario stops waiting for a counter. */
const MAX_POLLS = 2000;

// Slow scenarios can take longer than the default of 5 s on a busy machine.
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

Then('the counter {string} is {int}', function (this: World, name: string, value: number) {
  assert.equal(this.metrics.totals()[name], value);
});

When(
  'the counter {string} reaches {int}',
  async function (this: World, name: string, value: number) {
    const count = (): number => this.metrics.totals()[name] ?? 0;
    for (let polls = 0; count() < value && polls < MAX_POLLS; polls += 1) await sleep(POLL_MS);
    assert.ok(count() >= value);
  },
);
