import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import { Members } from '@jacinthlug/serving/fleet/Members';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

interface MembersWorld {
  members: Members;
  now: number;
  taken: boolean;
}

Given('a host that hears others', function (this: MembersWorld) {
  const identity = {
    name: 'h-1',
    failureDomain: 'a',
    incarnation: 500,
    address: '127.0.0.1',
    port: 1,
  };
  this.members = new Members({ identity, store: new MemoryRecordStore(), journal: silentJournal });
  this.now = 100_000;
});

When(
  /^process (\d+) of "([^"]+)" reports for the (\d+)\w\w time, (\d+) s after its start$/,
  function (
    this: MembersWorld,
    incarnation: number,
    host: string,
    sequence: number,
    seconds: number,
  ) {
    this.now += 50;
    const report: LoadReport = {
      host,
      incarnation,
      sequence,
      upMs: seconds * 1000,
      storeAgeMs: 0,
      loads: [],
      rates: [],
      silent: [],
      waitingItems: 0,
      breaks: [],
    };
    this.taken = this.members.hear(report, this.now);
  },
);

Then(/^the last report is (taken|dropped)$/, function (this: MembersWorld, outcome: string) {
  assert.equal(this.taken, outcome === 'taken');
});

Then(
  /^process (\d+) of "([^"]+)" (is|is not) at work$/,
  function (this: MembersWorld, incarnation: number, host: string, is: string) {
    assert.equal(this.members.isAtWork(host, incarnation, this.now), is === 'is');
  },
);
