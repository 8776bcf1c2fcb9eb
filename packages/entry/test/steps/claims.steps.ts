import assert from 'node:assert/strict';
import { setImmediate as turn } from 'node:timers/promises';
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

/** Waits for what a background task will have done; it takes some turns of the event loop, not time. */
const waitUntil = async (isDone: () => boolean): Promise<void> => {
  for (let turns = 0; turns < 1_000_000 && !isDone(); turns += 1) await turn();
  assert.ok(isDone(), 'it was never done');
};

const claimStates = ({ table }: Scenario): unknown[] =>
  [...table.rows.values()].map(({ attributes }) => attributes.state);

Given(/^claims (can|cannot) be written$/, function (this: Scenario, verb: string) {
  this.table.down = verb === 'cannot';
});

Given('the table loses {int} answers', function (this: Scenario, count: number) {
  this.table.lostAnswers = count;
});

Given('the table delays {int} write', function (this: Scenario, count: number) {
  this.table.lateWrites = count;
});

Given('during the next write to the table {}', function (this: Scenario, text: string) {
  const actions: Readonly<Record<string, () => void>> = {
    'the key is withdrawn': () => this.follower.withdraw('h1'),
    'the table goes down': () => Object.assign(this.table, { down: true }),
    // Blocks the whole process, as a pause of the host does.
    'the host is paused for 150 ms': () =>
      Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 150),
  };
  assert.ok(actions[text]);
  this.table.onNextWrite = actions[text];
});

When('the entry host has no connection from it', async function (this: Scenario) {
  const { countConnections } = await this.entry();
  while ((await countConnections()) > 0) await turn();
});

When('the delayed writes land', function (this: Scenario) {
  this.table.applyLateWrites();
});

When('the claim says that its request ended {int} s ago', function (this: Scenario, age: number) {
  this.table.rows.forEach((row, name) => {
    const attributes = { ...row.attributes, endsBy: Date.now() - age * 1000 };
    this.table.rows.set(name, { ...row, attributes });
  });
});

When('the claim is recorded', async function (this: Scenario) {
  await waitUntil(() => claimStates(this).every((state) => state === 'done'));
});

When('the entry host crashes and another one takes over', async function (this: Scenario) {
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
    // The caller went away or the entry host crashed.
    return undefined;
  }
};

const injectFaults = ({ table, agents }: Scenario, random: () => number): void => {
  const pick = (count: number) => Math.floor(random() * count);
  Object.assign(table, {
    lostAnswers: pick(3) === 0 ? 1 + pick(3) : 0,
    lateWrites: pick(6) === 0 ? 1 : 0,
    down: pick(10) === 0,
  });
  agents.forEach(({ nextBehaviours: next }) => {
    next.splice(0);
    next.push(agentFaults[pick(agentFaults.length * 2)] ?? (behaviours.answers as Behaviour));
  });
  if (pick(3) === 0) table.applyLateWrites();
};

When(
  '{int} orders are sent under random faults with seed {int}',
  { timeout: 60_000 },
  async function (this: Scenario, count: number, seed: number) {
    const random = createRandom(seed);
    const entries = [await this.startEntry(), await this.startEntry()];
    for (let sent = 0; sent < count; sent += 2) {
      injectFaults(this, random);
      const gone = new AbortController();
      const sends = entries.map(({ url }) =>
        sendOrder(url, Math.floor(random() * 12), gone.signal),
      );
      if (random() < 0.1) setImmediate(() => gone.abort());
      if (random() < 0.1) {
        await turn();
        await entries.shift()?.crash();
        entries.push(await this.startEntry());
      }
      const answers = await Promise.all(sends);
      this.orders.push(...answers.flatMap((answer) => (answer ? [answer] : [])));
    }
  },
);

Then('no order ran twice', function (this: Scenario) {
  const bodies = [...this.agents.values()].flatMap(({ runs }) => runs.map(({ body }) => body));
  assert.equal(new Set(bodies).size, bodies.length);
  assert.ok(bodies.length > 0);
});

Then('no request that was refused as "not run" has run', function (this: Scenario) {
  const ran = new Set(
    [...this.agents.values()].flatMap(({ runs }) =>
      runs.map(({ headers }) => headers[innerHeaders.request]),
    ),
  );
  const notRun = this.orders.filter(({ run }) => run === 'not run');
  assert.ok(notRun.length > 0);
  notRun.forEach(({ requestId }) => assert.ok(!ran.has(requestId)));
});
