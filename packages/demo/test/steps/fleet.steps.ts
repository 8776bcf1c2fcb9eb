import assert from 'node:assert/strict';
import { After, AfterAll, Given, setDefaultTimeout, Status, Then } from '@cucumber/cucumber';
import { discardFleet, seenBy, sharedFleet, type FleetWorld } from '../support/FleetWorld.js';

setDefaultTimeout(120_000);

interface Discarded extends FleetWorld {
  discard: boolean;
}

After(async function (this: Discarded, { result }) {
  // A failed scenario may leave its faults behind.
  if (this.discard || result?.status !== Status.PASSED) await discardFleet();
});

AfterAll(discardFleet);

Given('a running fleet', async function (this: FleetWorld) {
  this.fleet = await sharedFleet();
  this.answers = [];
  this.pending = [];
  this.seenBefore = new Map();
  for (const url of [...this.fleet.standins.engines, ...this.fleet.standins.services]) {
    this.seenBefore.set(url, (await seenBy([url])).length);
  }
});

Given('the fleet is discarded afterwards', function (this: Discarded) {
  this.discard = true;
});

Then(
  /^the (?:last )?answer is (\d+) with result code (\d+) and "(.+)"$/,
  function (this: FleetWorld, status: string, number: string, run: string) {
    const answer = this.answers.at(-1);
    assert.equal(answer?.status, Number(status), answer?.text);
    const { error } = JSON.parse(answer.text) as { error: { number: number; run: string } };
    assert.deepEqual({ number: error.number, run: error.run }, { number: Number(number), run });
  },
);
