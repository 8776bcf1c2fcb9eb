import assert from 'node:assert/strict';
import { After, AfterAll, Given, setDefaultTimeout, Status, Then } from '@cucumber/cucumber';
import {
  discardFleet,
  readReceivedRequests,
  getSharedFleet,
  type FleetWorld,
} from '../support/FleetWorld.js';

setDefaultTimeout(120_000);

interface DiscardableWorld extends FleetWorld {
  isFleetDiscarded: boolean;
}

After(async function (this: DiscardableWorld, { result }) {
  // A failed scenario may leave faults set.
  if (this.isFleetDiscarded || result?.status !== Status.PASSED) await discardFleet();
});

AfterAll(discardFleet);

Given('a running fleet', async function (this: FleetWorld) {
  this.fleet = await getSharedFleet();
  this.responses = [];
  this.pending = [];
  this.receivedBefore = new Map();
  for (const url of [...this.fleet.standins.engines, ...this.fleet.standins.services]) {
    this.receivedBefore.set(url, (await readReceivedRequests([url])).length);
  }
});

Given('the fleet is stopped after the scenario', function (this: DiscardableWorld) {
  this.isFleetDiscarded = true;
});

Then(
  /^the (?:last )?response is (\d+) with result code (\d+) and "(.+)"$/,
  function (this: FleetWorld, status: string, number: string, run: string) {
    const response = this.responses.at(-1);
    assert.equal(response?.status, Number(status), response?.text);
    const { error } = JSON.parse(response.text) as { error: { number: number; run: string } };
    assert.deepEqual({ number: error.number, run: error.run }, { number: Number(number), run });
  },
);
