import assert from 'node:assert/strict';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { request } from 'undici';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { behaviours, refuseWith, type Behaviour } from '../fakes/FakeAgent.js';
import { HARBOR_KEY, type Scenario, type SentOrder } from '../fakes/Scenario.js';

const agentFaults: readonly Behaviour[] = [
  behaviours.answers,
  behaviours['drops the connection'],
  behaviours['cuts a whole answer'],
  behaviours['answers with the answer of another request'],
  refuseWith('overloaded'),
  refuseWith('target-leaving'),
  refuseWith('target-failed'),
].flatMap((behaviour) => (behaviour ? [behaviour] : []));

/** Waits for the effect of a background task, which needs event loop iterations but no real time. */
const waitUntil = async (isDone: () => boolean): Promise<void> => {
  for (let count = 0; count < 1_000_000 && !isDone(); count += 1) await yieldToEventLoop();
  assert.ok(isDone(), 'the background task never finished');
};

const claimStates = ({ table }: Scenario): unknown[] =>
  [...table.rows.values()].map(({ attributes }) => attributes.state);

Given(/^claims (can|cannot) be written$/, function (this: Scenario, verb: string) {
  this.table.down = verb === 'cannot';
});

Given('the table loses {int} responses', function (this: Scenario, count: number) {
  this.table.lostAnswers = count;
});

Given('the table delays {int} write', function (this: Scenario, count: number) {
  this.table.lateWrites = count;
});

Given('during the next write to the table {}', function (this: Scenario, text: string) {
  const actions: Readonly<Record<string, () => void>> = {
    'the key is withdrawn': () => this.follower.withdraw('h1'),
    'the table goes down': () => Object.assign(this.table, { down: true }),
    // Blocks the whole process, like a pause of the host.
    'the host is paused for 150 ms': () =>
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 150),
  };
  assert.ok(actions[text]);
  this.table.onNextWrite = actions[text];
});

When('the entry host has no open caller connection', async function (this: Scenario) {
  const { countConnections } = await this.entry();
  while ((await countConnections()) > 0) await yieldToEventLoop();
});

When('the delayed writes take effect', function (this: Scenario) {
  this.table.applyLateWrites();
});

When(
  'the claim records that its request ended {int} s ago',
  function (this: Scenario, age: number) {
    this.table.rows.forEach((row, name) => {
      const attributes = { ...row.attributes, endsBy: Date.now() - age * 1000 };
      this.table.rows.set(name, { ...row, attributes });
    });
  },
);

When('the claim is recorded', async function (this: Scenario) {
  await waitUntil(() => claimStates(this).every((state) => state === 'done'));
});

When('the entry host crashes and another one replaces it', async function (this: Scenario) {
  const crashed = await this.entry();
  await crashed.crash();
  await this.startEntry();
});

Then('no claim is left', async function (this: Scenario) {
  await waitUntil(() => this.table.rows.size === 0);
});

const sendOrder = async (
  url: string,
  number: number,
  signal: AbortSignal,
): Promise<SentOrder | undefined> => {
  try {
    const { headers, body } = await request(`${url}/orders`, {
      method: 'POST',
      headers: { authorization: `Bearer ${HARBOR_KEY}` },
      body: JSON.stringify({ order: { number } }),
      signal,
    });
    const { error } = (await body.json()) as { error?: { run: string } };
    return { requestId: String(headers['x-request-id']), run: error?.run };
  } catch {
    // The caller disconnected or the entry host crashed.
    return undefined;
  }
};

const injectFaults = ({ table, agents }: Scenario, random: () => number): void => {
  const pickIndex = (count: number) => Math.floor(random() * count);
  Object.assign(table, {
    lostAnswers: pickIndex(3) === 0 ? 1 + pickIndex(3) : 0,
    lateWrites: pickIndex(6) === 0 ? 1 : 0,
    down: pickIndex(10) === 0,
  });
  agents.forEach(({ nextBehaviours: next }) => {
    next.splice(0);
    next.push(agentFaults[pickIndex(agentFaults.length * 2)] ?? (behaviours.answers as Behaviour));
  });
  if (pickIndex(3) === 0) table.applyLateWrites();
};

When(
  '{int} orders are sent under random faults with seed {int}',
  { timeout: 60_000 },
  async function (this: Scenario, count: number, seed: number) {
    const random = createRandom(seed);
    const entries = [await this.startEntry(), await this.startEntry()];
    for (let sentCount = 0; sentCount < count; sentCount += 2) {
      injectFaults(this, random);
      const disconnect = new AbortController();
      const pendingOrders = entries.map(({ url }) =>
        sendOrder(url, Math.floor(random() * 12), disconnect.signal),
      );
      if (random() < 0.1) setImmediate(() => disconnect.abort());
      if (random() < 0.1) {
        await yieldToEventLoop();
        await entries.shift()?.crash();
        entries.push(await this.startEntry());
      }
      const results = await Promise.all(pendingOrders);
      this.orders.push(...results.flatMap((result) => (result ? [result] : [])));
    }
  },
);

Then('no order ran twice', function (this: Scenario) {
  const bodies = [...this.agents.values()].flatMap(({ runs }) => runs.map(({ body }) => body));
  assert.equal(new Set(bodies).size, bodies.length);
  assert.ok(bodies.length > 0);
});

Then('no request that was refused as "not run" has run', function (this: Scenario) {
  const executedIds = new Set(
    [...this.agents.values()].flatMap(({ runs }) =>
      runs.map(({ headers }) => headers[innerHeaders.request]),
    ),
  );
  const notRun = this.orders.filter(({ run }) => run === 'not run');
  assert.ok(notRun.length > 0);
  notRun.forEach(({ requestId }) => assert.ok(!executedIds.has(requestId)));
});
