import assert from 'node:assert/strict';
import { After, Given, setDefaultTimeout, Then } from '@cucumber/cucumber';
import { setFaults, type World } from './world.js';

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
