import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { runEntryCrowd, type EntryCrowdResult } from '../runEntryCrowd.js';

interface EntryCrowdWorld {
  entryMemoryMb: number;
  agentMemoryMb: number;
  descriptors: number;
  result: EntryCrowdResult;
}

/** Timeout for starting a fleet, the crowd, and stopping both. Unit: ms. */
const CROWD_TIMEOUT_MS = 90_000;

/** Time for which a crowd stays open. Unit: ms. */
const CROWD_DURATION_MS = 3000;

/** Descriptors of a machine that are reserved for files. */
const FILE_DESCRIPTORS = 200;

const BYTES_PER_MEGABYTE = 1_000_000;

Given(
  'machines with {int} MB of memory for entry hosts, {int} MB for agents, and {int} descriptors',
  function (
    this: EntryCrowdWorld,
    entryMemoryMb: number,
    agentMemoryMb: number,
    descriptors: number,
  ) {
    Object.assign(this, { entryMemoryMb, agentMemoryMb, descriptors });
  },
);

When(
  /^(\d+) callers send "([^"]+)" on the (\w+) route of (\d+) entry hosts? with (a valid|no) key$/,
  { timeout: CROWD_TIMEOUT_MS },
  async function (
    this: EntryCrowdWorld,
    callers: string,
    form: string,
    route: string,
    entries: string,
    key: string,
  ) {
    const { descriptors } = this;
    this.result = await runEntryCrowd({
      callers: Number(callers),
      form,
      route,
      hasKey: key === 'a valid',
      entries: Number(entries),
      durationMs: CROWD_DURATION_MS,
      entryLimits: { memoryMb: this.entryMemoryMb, descriptors },
      agentLimits: { memoryMb: this.agentMemoryMb, descriptors },
    });
  },
);

Then('no process has ended', function (this: EntryCrowdWorld) {
  const ended = this.result.processes.filter(({ hasEnded }) => hasEnded);
  assert.deepEqual(
    ended.map(({ name }) => name),
    [],
  );
});

Then('each process has stayed within its memory and descriptors', function (this: EntryCrowdWorld) {
  const limitBytes = {
    entry: this.entryMemoryMb * BYTES_PER_MEGABYTE,
    agent: this.agentMemoryMb * BYTES_PER_MEGABYTE,
  };
  const limitSockets = this.descriptors - FILE_DESCRIPTORS;
  const beyond = this.result.processes.filter(
    ({ role, peakBytes, peakSockets }) =>
      !(peakBytes < limitBytes[role]) || peakSockets > limitSockets,
  );
  assert.deepEqual(beyond, []);
});

Then(
  'an ordinary request beside the crowd was answered, and one after it was served',
  function (this: EntryCrowdWorld) {
    assert.notEqual(this.result.statusBeside, 0);
    assert.equal(this.result.statusAfter, 200);
  },
);
