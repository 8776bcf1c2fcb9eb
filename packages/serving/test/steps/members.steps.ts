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
  storeRegainedMsAgo: number;
  upMs: number;
  last: LoadReport;
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
  this.storeRegainedMsAgo = Number.POSITIVE_INFINITY;
  this.upMs = 100_000;
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
    this.last = {
      host,
      incarnation,
      sequence,
      ageMs: 0,
      upMs: seconds * 1000,
      storeAgeMs: 0,
      loads: [],
      rates: [],
      silent: [],
      waitingItems: 0,
      breaks: [],
    };
    this.taken = this.members.hear(this.last, this.now);
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

Given('the store came back {int} ms ago', function (this: MembersWorld, ms: number) {
  this.storeRegainedMsAgo = ms;
});

Given('the host itself started {int} ms ago', function (this: MembersWorld, ms: number) {
  this.upMs = ms;
});

When('{int} ms pass', function (this: MembersWorld, ms: number) {
  this.now += ms;
});

When('its next report is passed on {int} ms late', function (this: MembersWorld, ageMs: number) {
  this.now += ageMs;
  const { sequence, upMs } = this.last;
  const next = { ...this.last, sequence: sequence + 1, upMs: upMs + 50, ageMs };
  this.taken = this.members.hear(next, this.now);
});

When(
  'process {int} of {string} reports without contact to the store for {int} ms',
  function (this: MembersWorld, incarnation: number, host: string, storeAgeMs: number) {
    this.members.hear(
      {
        host,
        incarnation,
        sequence: 1,
        ageMs: 0,
        upMs: 60_000,
        storeAgeMs,
        loads: [],
        rates: [],
        silent: [],
        waitingItems: 0,
        breaks: [],
      },
      this.now,
    );
  },
);

Then(
  /^the work of process (\d+) of "([^"]+)" (may|may not) be given to others$/,
  function (this: MembersWorld, incarnation: number, host: string, may: string) {
    const { storeRegainedMsAgo, upMs } = this;
    const lost = this.members.isLost(host, incarnation, { storeRegainedMsAgo, upMs }, this.now);
    assert.equal(lost, may === 'may');
  },
);
