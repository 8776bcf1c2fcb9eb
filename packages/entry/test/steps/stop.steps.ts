import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import type { Scenario } from '../fakes/Scenario.js';

When('the entry host is told to stop', async function (this: Scenario) {
  const { process } = await this.entry();
  this.exitCode = process.stop();
  // The grace period is 0 ms in tests, so the stop continues on the next timer.
  await new Promise((resolve) => {
    setTimeout(resolve, 20);
  });
});

Then('the entry host exits with {int}', async function (this: Scenario, code: number) {
  assert.equal(await this.exitCode, code);
});
