import assert from 'node:assert/strict';
import { After, Given, Then } from '@cucumber/cucumber';
import { setFaults, type World } from './world.js';

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
