import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { setTimeout as sleep } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import type { FleetHost } from '../../src/launch/Fleet.js';
import { waitUntil } from '../../src/launch/waitUntil.js';
import {
  createChatBody,
  getEntryHost,
  getKey,
  readReceivedRequests,
  send,
  setFaults,
  type FleetWorld,
} from '../support/FleetWorld.js';
import { openStream, type RunningStream } from '../support/openStream.js';

interface FailureWorld extends FleetWorld {
  streams: RunningStream[];
  drainingAgent: FleetHost;
  stoppedHost: FleetHost;
  editStatus: number;
  chatStatuses: number[];
}

const sendNonIdempotentCall = ({ fleet }: FleetWorld, entry: number) =>
  send(
    `${getEntryHost(fleet, entry).url}${fleet.deployment.routes.once}`,
    getKey(fleet, 'web').secret,
    {
      visit: { number: 'V-77' },
    },
  );

const countNonIdempotentCalls = async ({ fleet }: FleetWorld): Promise<number> => {
  const seen = await readReceivedRequests(fleet.standins.services);
  return seen.filter(({ path }) => path === fleet.deployment.routes.once).length;
};

const sendChat = ({ fleet }: FleetWorld, entry: number, content: string, account = 'web') =>
  send(
    `${getEntryHost(fleet, entry).url}/v1/chat/completions`,
    getKey(fleet, account).secret,
    createChatBody(fleet, content, 2),
  );

const callOperatorApi = (
  { fleet }: FleetWorld,
  entry: number,
  path: string,
  body?: Readonly<Record<string, unknown>>,
) =>
  send(
    `${getEntryHost(fleet, entry).url}/operator/v1${path}`,
    fleet.operator.credential,
    body && { token: randomUUID(), ...body },
  );

Given('each service takes {int} ms', async function (this: FailureWorld, delayMs: number) {
  await Promise.all(this.fleet.standins.services.map((url) => setFaults(url, { delayMs })));
});

Given('each service drops its next response', async function (this: FailureWorld) {
  await Promise.all(this.fleet.standins.services.map((url) => setFaults(url, { loseAnswers: 1 })));
});

Given('the table is down', async function (this: FailureWorld) {
  await setFaults(this.fleet.standins.table, { down: true });
});

When(
  'a non-idempotent call is sent through entry host {int}',
  async function (this: FailureWorld, entry: number) {
    const attempt = sendNonIdempotentCall(this, entry).then(
      (response) => this.responses.push(response),
      // A killed entry host closes the connection without a response.
      () => undefined,
    );
    this.pending.push(attempt);
    const hasReachedService = async () => (await countNonIdempotentCalls(this)) > 0;
    await Promise.race([
      attempt,
      waitUntil('arrival of the call at a service', 10_000, hasReachedService),
    ]);
  },
);

When(
  'entry host {int} is killed while the call runs',
  function (this: FailureWorld, number: number) {
    getEntryHost(this.fleet, number).process.signal('SIGKILL');
  },
);

When(
  'the same call is sent through entry host {int}',
  async function (this: FailureWorld, entry: number) {
    await Promise.all(this.pending);
    this.responses.push(await sendNonIdempotentCall(this, entry));
  },
);

When(
  '{int} chats are sent at once through entry host {int}',
  async function (this: FailureWorld, count: number, entry: number) {
    const sent = Array.from({ length: count }, (_, index) =>
      sendChat(this, entry, `chat ${index}`),
    );
    this.responses.push(...(await Promise.all(sent)));
  },
);

Then('each of these chats gets status 200', function (this: FailureWorld) {
  const refused = this.responses.filter(({ status }) => status !== 200);
  assert.deepEqual(
    refused.map(({ text }) => text),
    [],
  );
});

Then('the services received the call once', async function (this: FailureWorld) {
  assert.equal(await countNonIdempotentCalls(this), 1);
});

Then('the services did not receive the call', async function (this: FailureWorld) {
  assert.equal(await countNonIdempotentCalls(this), 0);
});

Then('no response states {string}', function (this: FailureWorld, run: string) {
  assert.ok(this.responses.length > 0);
  this.responses.forEach(({ text }) => assert.ok(!text.includes(`"run":"${run}"`), text));
});

Given('callers are served through each entry host', async function (this: FailureWorld) {
  const statuses = [(await sendChat(this, 1, 'a')).status, (await sendChat(this, 2, 'b')).status];
  assert.deepEqual(statuses, [200, 200]);
});

When(
  'the table and the object store are down for {int} s',
  async function (this: FailureWorld, seconds: number) {
    const { table, objects } = this.fleet.standins;
    await Promise.all([table, objects].map((url) => setFaults(url, { down: true })));
    const deadline = performance.now() + seconds * 1000;
    this.chatStatuses = [];
    while (performance.now() < deadline) {
      this.chatStatuses.push(
        (await sendChat(this, 1, 'c')).status,
        (await sendChat(this, 2, 'd')).status,
      );
      await sleep(250);
    }
    this.editStatus = (await callOperatorApi(this, 1, '/keys', { account: 'web' })).status;
  },
);

Then('chats are served through each entry host during the outage', function (this: FailureWorld) {
  assert.deepEqual([...new Set(this.chatStatuses)], [200]);
});

Then('an edit is refused', function (this: FailureWorld) {
  assert.equal(this.editStatus, 503);
});

Given(
  'a stream of {int} tokens runs through each entry host',
  async function (this: FailureWorld, tokens: number) {
    this.streams = await Promise.all(
      [1, 2].map((entry) =>
        openStream(
          getEntryHost(this.fleet, entry).url,
          getKey(this.fleet, 'web').secret,
          createChatBody(this.fleet, `stream ${entry}`, tokens, true),
        ),
      ),
    );
    await Promise.all(this.streams.map(({ firstToken }) => firstToken));
  },
);

const findAgentWithStream = async ({ fleet }: FleetWorld): Promise<FleetHost> => {
  for (const agent of fleet.agents) {
    const seen = await readReceivedRequests([agent.targetUrl ?? '']);
    if (seen.some(({ outcome }) => outcome === 'running')) return agent;
  }
  throw new Error('no agent runs a stream');
};

const hostFinders: Readonly<Record<string, (world: FleetWorld) => Promise<FleetHost>>> = {
  'entry host 1': (world) => Promise.resolve(getEntryHost(world.fleet, 1)),
  'the agent of a stream': findAgentWithStream,
};

When(/^(.+) receives SIGTERM twice$/, async function (this: FailureWorld, name: string) {
  const host = await hostFinders[name]?.(this);
  assert.ok(host, name);
  this.stoppedHost = host;
  host.process.signal('SIGTERM');
  await sleep(100);
  host.process.signal('SIGTERM');
});

Then('each stream is complete', async function (this: FailureWorld) {
  const ends = await Promise.all(this.streams.map(({ end }) => end));
  assert.deepEqual(
    ends.map(({ isComplete }) => isComplete),
    [true, true],
  );
});

Then(/^(.+) exits with code 0$/, async function (this: FailureWorld, name: string) {
  const hasEnded = () => Promise.resolve(this.stoppedHost.process.exitCode() !== null);
  await waitUntil(`the exit of ${name}`, 20_000, hasEnded);
  assert.equal(this.stoppedHost.process.exitCode(), 0);
});

When('the host list marks the agent of an engine as leaving', async function (this: FailureWorld) {
  const agent = this.fleet.agents[0];
  assert.ok(agent);
  this.drainingAgent = agent;
  await this.fleet.setHostState(agent.name, 'leaving');
});

Then(
  'after {int} s the engine receives none of {int} requests',
  async function (this: FailureWorld, seconds: number, requests: number) {
    await sleep(seconds * 1000);
    const before = (await readReceivedRequests([this.drainingAgent.targetUrl ?? ''])).length;
    for (let index = 0; index < requests; index += 1) {
      assert.equal((await sendChat(this, (index % 2) + 1, `leaving ${index}`)).status, 200);
    }
    assert.equal((await readReceivedRequests([this.drainingAgent.targetUrl ?? ''])).length, before);
  },
);

When(
  'a request that crashes targets is sent {int} times through each entry host',
  async function (this: FailureWorld, times: number) {
    for (let index = 0; index < times * 2; index += 1) {
      this.responses.push(await sendChat(this, (index % 2) + 1, 'please __crash__ now'));
    }
  },
);

Then('at most {int} engines crashed', async function (this: FailureWorld, max: number) {
  const seen = await readReceivedRequests(this.fleet.standins.engines);
  const crashes = seen.filter(({ outcome }) => outcome === 'crashed').length;
  assert.ok(crashes <= max, `${crashes} crashes`);
});

Then('other requests are served', async function (this: FailureWorld) {
  await waitUntil(
    'served',
    10_000,
    async () => (await sendChat(this, 1, 'healthy')).status === 200,
  );
});

When(
  'entry host {int} is suspended, a key is withdrawn, and the host is resumed {int} s later',
  async function (this: FailureWorld, number: number, seconds: number) {
    const suspended = getEntryHost(this.fleet, number);
    suspended.process.signal('SIGSTOP');
    await this.fleet.operator.withdrawKey(getKey(this.fleet, 'whatsapp').id);
    // The process reads these requests from its sockets as soon as it is resumed.
    const attempts = Array.from({ length: 5 }, () => sendChat(this, number, 'frozen', 'whatsapp'));
    await sleep(seconds * 1000);
    suspended.process.signal('SIGCONT');
    this.responses.push(...(await Promise.all(attempts)));
    this.responses.push(await sendChat(this, number, 'awake', 'whatsapp'));
  },
);

Then('no request with the withdrawn key is served', function (this: FailureWorld) {
  const statuses = this.responses.map(({ status }) => status);
  assert.ok(!statuses.includes(200), statuses.join(', '));
});

When('the key of the streams is withdrawn', async function (this: FailureWorld) {
  await this.fleet.operator.withdrawKey(getKey(this.fleet, 'web').id);
});

Then(
  'each stream ends within {int} ms and is incomplete',
  async function (this: FailureWorld, maxMs: number) {
    const startedAt = performance.now();
    const ends = await Promise.all(this.streams.map(({ end }) => end));
    // The bound is the users' limit for an edit to take effect. Uninterrupted, the streams take 8 s.
    assert.ok(performance.now() - startedAt <= maxMs);
    assert.deepEqual(
      ends.map(({ isComplete }) => isComplete),
      [false, false],
    );
  },
);

When(
  'two operators apply different declarations to the same version',
  async function (this: FailureWorld) {
    const current = JSON.parse((await callOperatorApi(this, 1, '/configuration')).text) as {
      version: number;
      content: { declarations: { nodes: Record<string, unknown> } };
    };
    const { nodes } = current.content.declarations;
    this.responses = await Promise.all(
      ['operator-a', 'operator-b'].map((name, index) =>
        callOperatorApi(this, index + 1, '/configuration', {
          baseVersion: current.version,
          declarations: { nodes: { ...nodes, [name]: { kind: 'group' } } },
        }),
      ),
    );
  },
);

Then(
  'one is accepted and the other is refused with result code {int}',
  function (this: FailureWorld, number: number) {
    const accepted = this.responses.filter(({ status }) => status < 300);
    assert.equal(accepted.length, 1, this.responses.map(({ text }) => text).join());
    const refused = this.responses.find(({ status }) => status >= 300);
    assert.ok(refused?.text.includes(`"number":${number}`), refused?.text);
  },
);
