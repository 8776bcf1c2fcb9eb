import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { FleetHost } from '../../src/launch/Fleet.js';
import { waitUntil } from '../../src/launch/waitUntil.js';
import { readJob, submitJob } from '../support/batchJobs.js';
import { getEntryHost, readReceivedRequests, type FleetWorld } from '../support/FleetWorld.js';

interface BatchWorld extends FleetWorld {
  itemCount: number;
}

Given(
  'a batch job of {int} items of {int} tokens',
  async function (this: BatchWorld, items: number, tokens: number) {
    this.itemCount = items;
    this.jobId = await submitJob(this.fleet, items, tokens);
  },
);

const isRunningItems = async (agent: FleetHost): Promise<boolean> => {
  const received = await readReceivedRequests([agent.targetUrl ?? '']);
  const isItem = ({ outcome, path }: { outcome: string; path: string }) =>
    outcome === 'running' && path === '/v1/chat/completions';
  return received.filter(isItem).length >= 4;
};

/** Waits until an engine runs items, and returns its agent. */
const findAgentWithItems = async ({ fleet }: FleetWorld): Promise<FleetHost> => {
  let found: FleetHost | undefined;
  await waitUntil('running items', 30_000, async () => {
    for (const agent of fleet.agents) {
      if (await isRunningItems(agent)) found = agent;
    }
    return found !== undefined;
  });
  assert.ok(found);
  return found;
};

When('the job runs and the agent of an engine is killed', async function (this: FleetWorld) {
  (await findAgentWithItems(this)).process.signal('SIGKILL');
});

When(
  'the job runs and the agent of an engine is suspended for {int} s',
  async function (this: FleetWorld, seconds: number) {
    const { process: suspended } = await findAgentWithItems(this);
    suspended.signal('SIGSTOP');
    await sleep(seconds * 1000);
    suspended.signal('SIGCONT');
  },
);

When('entry host {int} is killed', function (this: FleetWorld, number: number) {
  getEntryHost(this.fleet, number).process.signal('SIGKILL');
});

Then('the job completes with each item exactly once', async function (this: BatchWorld) {
  let ids: readonly string[] = [];
  await waitUntil('completion of the job', 90_000, async () => {
    const results = await readJob(this);
    ids = results.customIds;
    return results.status === 'completed';
  });
  const expected = Array.from({ length: this.itemCount }, (_, index) => `item-${index}`);
  assert.deepEqual([...ids].sort(), expected.sort());
});
