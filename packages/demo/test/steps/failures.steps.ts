import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { FleetHost } from '../../src/launch/Fleet.js';
import { waitUntil } from '../../src/launch/waitUntil.js';
import {
  chatBody,
  entryOf,
  keyOf,
  seenBy,
  send,
  setFaults,
  type FleetWorld,
} from '../support/FleetWorld.js';
import { openStream, type RunningStream } from '../support/openStream.js';

interface Failing extends FleetWorld {
  streams: RunningStream[];
  leaving: FleetHost;
  stopped: FleetHost;
  editStatus: number;
  statuses: number[];
}

const sendOnce = ({ fleet }: FleetWorld, entry: number) =>
  send(`${entryOf(fleet, entry).url}${fleet.deployment.routes.once}`, keyOf(fleet, 'web').secret, {
    visit: { number: 'V-77' },
  });

const onceRuns = async ({ fleet }: FleetWorld): Promise<number> => {
  const seen = await seenBy(fleet.standins.services);
  return seen.filter(({ path }) => path === fleet.deployment.routes.once).length;
};

const chat = ({ fleet }: FleetWorld, entry: number, content: string, account = 'web') =>
  send(
    `${entryOf(fleet, entry).url}/v1/chat/completions`,
    keyOf(fleet, account).secret,
    chatBody(fleet, content, 2),
  );

const operate = (
  { fleet }: FleetWorld,
  entry: number,
  path: string,
  body?: Readonly<Record<string, unknown>>,
) =>
  send(
    `${entryOf(fleet, entry).url}/operator/v1${path}`,
    fleet.operator.credential,
    body && { token: randomUUID(), ...body },
  );

Given('each service takes {int} ms', async function (this: Failing, delayMs: number) {
  await Promise.all(this.fleet.standins.services.map((url) => setFaults(url, { delayMs })));
});

Given('each service loses its next answer', async function (this: Failing) {
  await Promise.all(this.fleet.standins.services.map((url) => setFaults(url, { loseAnswers: 1 })));
});

Given('the table is down', async function (this: Failing) {
  await setFaults(this.fleet.standins.table, { down: true });
});

When(
  'a call that may not be repeated is sent through entry host {int}',
  async function (this: Failing, entry: number) {
    const answer = sendOnce(this, entry).then(
      (whole) => this.answers.push(whole),
      // The connection of a killed entry host breaks.
      () => undefined,
    );
    this.pending.push(answer);
    const wasSeen = async () => (await onceRuns(this)) > 0;
    await Promise.race([answer, waitUntil('the call at a service', 10_000, wasSeen)]);
  },
);

When('entry host {int} is killed while the call runs', function (this: Failing, number: number) {
  entryOf(this.fleet, number).process.signal('SIGKILL');
});

When(
  'the same call is sent through entry host {int}',
  async function (this: Failing, entry: number) {
    await Promise.all(this.pending);
    this.answers.push(await sendOnce(this, entry));
  },
);

When(
  '{int} chats are sent at once through entry host {int}',
  async function (this: Failing, count: number, entry: number) {
    const sent = Array.from({ length: count }, (_, index) => chat(this, entry, `chat ${index}`));
    this.answers.push(...(await Promise.all(sent)));
  },
);

Then('each of these chats is answered with 200', function (this: Failing) {
  const refused = this.answers.filter(({ status }) => status !== 200);
  assert.deepEqual(
    refused.map(({ text }) => text),
    [],
  );
});

Then('the services were given the call once', async function (this: Failing) {
  assert.equal(await onceRuns(this), 1);
});

Then('the services were not given the call', async function (this: Failing) {
  assert.equal(await onceRuns(this), 0);
});

Then('no answer says {string}', function (this: Failing, run: string) {
  assert.ok(this.answers.length > 0);
  this.answers.forEach(({ text }) => assert.ok(!text.includes(`"run":"${run}"`), text));
});

Given('callers are served through each entry host', async function (this: Failing) {
  const statuses = [(await chat(this, 1, 'a')).status, (await chat(this, 2, 'b')).status];
  assert.deepEqual(statuses, [200, 200]);
});

When(
  'the table and the object store are down for {int} s',
  async function (this: Failing, seconds: number) {
    const { table, objects } = this.fleet.standins;
    await Promise.all([table, objects].map((url) => setFaults(url, { down: true })));
    const deadline = performance.now() + seconds * 1000;
    this.statuses = [];
    while (performance.now() < deadline) {
      this.statuses.push((await chat(this, 1, 'c')).status, (await chat(this, 2, 'd')).status);
      await sleep(250);
    }
    this.editStatus = (await operate(this, 1, '/keys', { account: 'web' })).status;
  },
);

Then('chats are served through each entry host all the while', function (this: Failing) {
  assert.deepEqual([...new Set(this.statuses)], [200]);
});

Then('an edit is refused', function (this: Failing) {
  assert.equal(this.editStatus, 503);
});

Given(
  'a stream of {int} tokens runs through each entry host',
  async function (this: Failing, tokens: number) {
    this.streams = await Promise.all(
      [1, 2].map((entry) =>
        openStream(
          entryOf(this.fleet, entry).url,
          keyOf(this.fleet, 'web').secret,
          chatBody(this.fleet, `stream ${entry}`, tokens, true),
        ),
      ),
    );
    await Promise.all(this.streams.map(({ firstToken }) => firstToken));
  },
);

const agentOfStream = async ({ fleet }: FleetWorld): Promise<FleetHost> => {
  for (const agent of fleet.agents) {
    const seen = await seenBy([agent.targetUrl ?? '']);
    if (seen.some(({ outcome }) => outcome === 'running')) return agent;
  }
  throw new Error('no agent has a stream');
};

const stoppedHost: Readonly<Record<string, (world: FleetWorld) => Promise<FleetHost>>> = {
  'entry host 1': (world) => Promise.resolve(entryOf(world.fleet, 1)),
  'the agent of a stream': agentOfStream,
};

When(/^(.+) gets SIGTERM twice$/, async function (this: Failing, name: string) {
  const host = await stoppedHost[name]?.(this);
  assert.ok(host, name);
  this.stopped = host;
  host.process.signal('SIGTERM');
  await sleep(100);
  host.process.signal('SIGTERM');
});

Then('each stream ends whole', async function (this: Failing) {
  const ends = await Promise.all(this.streams.map(({ end }) => end));
  assert.deepEqual(
    ends.map(({ isWhole }) => isWhole),
    [true, true],
  );
});

Then(/^(.+) ends with exit code 0$/, async function (this: Failing, name: string) {
  const hasEnded = () => Promise.resolve(this.stopped.process.exitCode() !== null);
  await waitUntil(`the end of ${name}`, 20_000, hasEnded);
  assert.equal(this.stopped.process.exitCode(), 0);
});

When('the host list says that the agent of an engine leaves', async function (this: Failing) {
  const agent = this.fleet.agents[0];
  assert.ok(agent);
  this.leaving = agent;
  await this.fleet.setState(agent.name, 'leaving');
});

Then(
  'after {int} s the engine is given no request of {int}',
  async function (this: Failing, seconds: number, requests: number) {
    await sleep(seconds * 1000);
    const before = (await seenBy([this.leaving.targetUrl ?? ''])).length;
    for (let index = 0; index < requests; index += 1) {
      assert.equal((await chat(this, (index % 2) + 1, `leaving ${index}`)).status, 200);
    }
    assert.equal((await seenBy([this.leaving.targetUrl ?? ''])).length, before);
  },
);

When(
  'a request that crashes targets is sent {int} times through each entry host',
  async function (this: Failing, times: number) {
    for (let index = 0; index < times * 2; index += 1) {
      this.answers.push(await chat(this, (index % 2) + 1, 'please __crash__ now'));
    }
  },
);

Then('at most {int} engines crashed', async function (this: Failing, most: number) {
  const seen = await seenBy(this.fleet.standins.engines);
  const crashes = seen.filter(({ outcome }) => outcome === 'crashed').length;
  assert.ok(crashes <= most, `${crashes} crashes`);
});

Then('other requests are served', async function (this: Failing) {
  await waitUntil('served', 10_000, async () => (await chat(this, 1, 'healthy')).status === 200);
});

When(
  'entry host {int} is frozen, a key is withdrawn, and the host wakes {int} s later',
  async function (this: Failing, number: number, seconds: number) {
    const frozen = entryOf(this.fleet, number);
    frozen.process.signal('SIGSTOP');
    await this.fleet.operator.withdrawKey(keyOf(this.fleet, 'whatsapp').id);
    // Requests that wait in the socket of the frozen process are read the moment it wakes.
    const answers = Array.from({ length: 5 }, () => chat(this, number, 'frozen', 'whatsapp'));
    await sleep(seconds * 1000);
    frozen.process.signal('SIGCONT');
    this.answers.push(...(await Promise.all(answers)));
    this.answers.push(await chat(this, number, 'awake', 'whatsapp'));
  },
);

Then('the withdrawn key is never served', function (this: Failing) {
  const statuses = this.answers.map(({ status }) => status);
  assert.ok(!statuses.includes(200), statuses.join(', '));
});

When('the key of the streams is withdrawn', async function (this: Failing) {
  await this.fleet.operator.withdrawKey(keyOf(this.fleet, 'web').id);
});

Then(
  'each stream ends within {int} ms and not whole',
  async function (this: Failing, limitMs: number) {
    const startedAt = performance.now();
    const ends = await Promise.all(this.streams.map(({ end }) => end));
    // The bound is the users' limit for an edit to be in force; the streams themselves take 8 s.
    assert.ok(performance.now() - startedAt <= limitMs);
    assert.deepEqual(
      ends.map(({ isWhole }) => isWhole),
      [false, false],
    );
  },
);

When(
  'two operators apply different declarations to the same version',
  async function (this: Failing) {
    const current = JSON.parse((await operate(this, 1, '/configuration')).text) as {
      version: number;
      content: { declarations: { nodes: Record<string, unknown> } };
    };
    const { nodes } = current.content.declarations;
    this.answers = await Promise.all(
      ['operator-a', 'operator-b'].map((name, index) =>
        operate(this, index + 1, '/configuration', {
          baseVersion: current.version,
          declarations: { nodes: { ...nodes, [name]: { kind: 'group' } } },
        }),
      ),
    );
  },
);

Then(
  'one is accepted and the other is refused with result code {int}',
  function (this: Failing, number: number) {
    const accepted = this.answers.filter(({ status }) => status < 300);
    assert.equal(accepted.length, 1, this.answers.map(({ text }) => text).join());
    const refused = this.answers.find(({ status }) => status >= 300);
    assert.ok(refused?.text.includes(`"number":${number}`), refused?.text);
  },
);
