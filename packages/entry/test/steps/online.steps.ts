import assert from 'node:assert/strict';
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  After,
  Given,
  setDefaultTimeout,
  setWorldConstructor,
  Then,
  When,
  type DataTable,
} from '@cucumber/cucumber';
import type { RefusalBody } from '@jacinthlug/catalog/refusalBody';
import { resultCodes, type ResultName } from '@jacinthlug/catalog/resultCodes';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { behaviours, refuseWith, type Behaviour } from '../fakes/FakeAgent.js';
import { HARBOR_KEY, Scenario } from '../fakes/Scenario.js';
import { OPERATOR_CREDENTIAL } from '../fakes/startEntry.js';

setWorldConstructor(Scenario);

// Some scenarios wait until a failed host is detected, which takes seconds on a busy machine.
setDefaultTimeout(30_000);

After(async function (this: Scenario) {
  await this.close();
});

const getBehaviour = (text: string): Behaviour => {
  const refusal = /^refuses with "(.+)"$/.exec(text)?.[1];
  const behaviour = refusal ? refuseWith(refusal as ResultName) : behaviours[text];
  assert.ok(behaviour, `unknown behaviour: ${text}`);
  return behaviour;
};

const createChatBody = (stream: boolean): string =>
  JSON.stringify({ model: 'tide-7b', stream, messages: [{ role: 'user', content: 'Ebb?' }] });

const createOrderBody = (number: string): string => JSON.stringify({ order: { number, ropes: 3 } });

const parseRefusal = (text: string) => (JSON.parse(text) as RefusalBody).error;

/** Sends a request and waits until an agent has received it. */
const begin = async (scenario: Scenario, path: string, body: string): Promise<void> => {
  await scenario.entry();
  Object.assign(scenario, { pending: scenario.send('POST', path, body).catch(() => undefined) });
  const agents = [...scenario.agents.values()];
  if (scenario.countReceivedRequests() === 0)
    await Promise.race(agents.map(({ events }) => once(events, 'seen')));
};

Given('the agents', async function (this: Scenario, table: DataTable) {
  const rows = table.hashes() as { name: string; service: string; domain?: string }[];
  await Promise.all(rows.map(({ name, service, domain }) => this.addAgent(name, service, domain)));
});

Given('{string} next {}', function (this: Scenario, name: string, text: string) {
  this.agent(name).nextBehaviours.push(getBehaviour(text));
});

Given('each agent always {}', function (this: Scenario, text: string) {
  this.agents.forEach((agent) => Object.assign(agent, { defaultBehaviour: getBehaviour(text) }));
});

Given('agent {string} always {}', function (this: Scenario, name: string, text: string) {
  Object.assign(this.agent(name), { defaultBehaviour: getBehaviour(text) });
});

Given('whichever agent comes first {}', function (this: Scenario, text: string) {
  const behaviour = getBehaviour(text);
  let isFirst = true;
  const defaultBehaviour: Behaviour = (agent, received, response) => {
    const chosen = isFirst ? behaviour : this.otherBehaviour;
    isFirst = false;
    chosen(agent, received, response);
  };
  this.agents.forEach((agent) => Object.assign(agent, { defaultBehaviour }));
});

Given('each other agent {}', function (this: Scenario, text: string) {
  this.otherBehaviour = getBehaviour(text);
});

Given('{string} is unreachable', async function (this: Scenario, name: string) {
  await this.agent(name).stop();
});

Given('{string} is leaving', function (this: Scenario, name: string) {
  Object.assign(this.agent(name).member, { state: 'leaving' });
});

Given('the caller sends the header {string}: {string}', function (this: Scenario, name, value) {
  this.headers = { ...this.headers, [name as string]: value as string };
});

Given(/^the caller shows (no key|the operator credential)$/, function (this: Scenario, what) {
  this.headers = what === 'no key' ? {} : { authorization: `Bearer ${OPERATOR_CREDENTIAL}` };
});

Given('the rate of the account is used up', function (this: Scenario) {
  this.rates.permits = 0;
});

Given('the configuration is not confirmed', function (this: Scenario) {
  this.follower.isIsolated = true;
});

Given('requests may take {int} ms', function (this: Scenario, timeLimitMs: number) {
  this.follower.edit(({ declarations }) => {
    Object.assign(declarations.nodes['']?.settings ?? {}, { timeLimitMs });
  });
});

When('the key is withdrawn', function (this: Scenario) {
  this.follower.withdraw('h1');
});

When('the key is withdrawn and {int} ms pass', async function (this: Scenario, ms: number) {
  this.follower.withdraw('h1');
  // The scenario expects that nothing happens, so there is no event to wait for. Keys are checked every 250 ms.
  await sleep(ms);
});

When(/^the caller (send|stream)s a chat$/, async function (this: Scenario, how: string) {
  await this.send('POST', '/v1/chat/completions', createChatBody(how === 'stream'));
});

When(/^the caller begins to (send|stream) a chat$/, async function (this: Scenario, how: string) {
  await begin(this, '/v1/chat/completions', createChatBody(how === 'stream'));
});

When('the caller sends {int} chats', async function (this: Scenario, count: number) {
  for (let sent = 0; sent < count; sent += 1) {
    await this.send('POST', '/v1/chat/completions', createChatBody(false));
  }
});

When('the caller sends {int} chats at once', async function (this: Scenario, count: number) {
  await this.entry();
  await Promise.all(
    Array.from({ length: count }, () =>
      this.send('POST', '/v1/chat/completions', createChatBody(false)),
    ),
  );
});

Then(
  'all {int} answers have status {int}',
  function (this: Scenario, count: number, status: number) {
    assert.deepEqual(
      this.responses.map((response) => response.status),
      Array.from({ length: count }, () => status),
    );
  },
);

When('the caller posts {string} to {string}', async function (this: Scenario, body, path) {
  await this.send('POST', path as string, body as string);
});

When(/^the caller sends (GET|HEAD) "(.+)"$/, async function (this: Scenario, method, path) {
  await this.send(method as 'GET' | 'HEAD', path as string);
});

When('the caller sends order {string}', async function (this: Scenario, number: string) {
  await this.send('POST', '/orders', createOrderBody(number));
});

When('the caller begins to send order {string}', async function (this: Scenario, number: string) {
  await begin(this, '/orders', createOrderBody(number));
});

When('the caller goes away', async function (this: Scenario) {
  this.callerGone.abort();
  await this.pending;
});

When('the caller comes back', function (this: Scenario) {
  this.callerGone = new AbortController();
});

When('the pending answer has come', async function (this: Scenario) {
  await this.pending;
});

When('the held answers are given', async function (this: Scenario) {
  this.agents.forEach(({ heldResponses }) =>
    heldResponses.splice(0).forEach((sendResponse) => sendResponse()),
  );
  await this.pending;
});

Then('some agent sees the request cancelled', async function (this: Scenario) {
  const agents = [...this.agents.values()];
  if (agents.some(({ cancelledCount: cancelled }) => cancelled > 0)) return;
  await Promise.race(agents.map(({ events }) => once(events, 'cancelled')));
});

Then('the second attempt was marked as a suspect', function (this: Scenario) {
  const requests = [...this.agents.values()].flatMap((agent) => agent.receivedRequests);
  const marks = requests.map(({ headers }) => headers[innerHeaders.suspect]);
  assert.deepEqual(marks.sort(), ['false', 'true']);
});

Then('the caller did not see {string}', function (this: Scenario, text: string) {
  assert.ok(!this.lastResponse().text.includes(text));
});

Then('the answers are equal', function (this: Scenario) {
  assert.equal(new Set(this.responses.map(({ text }) => text)).size, 1);
});

Then('the answer has status {int}', function (this: Scenario, status: number) {
  assert.equal(this.lastResponse().status, status, this.lastResponse().text);
});

Then('the answer is complete', function (this: Scenario) {
  assert.ok(this.lastResponse().isComplete);
});

Then('the answer comes from {string}', function (this: Scenario, name: string) {
  assert.equal((JSON.parse(this.lastResponse().text) as { by: string }).by, name);
});

Then('it is refused with {string}, {string}', function (this: Scenario, code: string, run: string) {
  const { status, text } = this.lastResponse();
  const error = parseRefusal(text);
  assert.deepEqual(
    { code: error.code, run: error.run, status },
    { code, run, status: resultCodes[code as ResultName].status },
  );
});

Then('the targets ran {int} request(s)', function (this: Scenario, count: number) {
  assert.equal(this.countRuns(), count);
});

Then('the agents saw {int} request(s)', function (this: Scenario, count: number) {
  assert.equal(this.countReceivedRequests(), count);
});

Then('no agent saw the key', function (this: Scenario) {
  assert.ok(this.countReceivedRequests() > 0);
  const secret = HARBOR_KEY.slice('jl_h1_'.length);
  this.agents.forEach(({ receivedRequests }) =>
    receivedRequests.forEach((request) => {
      const text = decodeURIComponent(request.rawHeaders.join('\n'));
      assert.ok(!text.toLowerCase().includes(secret), text);
    }),
  );
});

Then('the agent saw the header {string}: {string}', function (this: Scenario, name, value) {
  const [request] = [...this.agents.values()].flatMap(({ receivedRequests }) => receivedRequests);
  assert.equal(request?.headers[name as string], value);
});

Then('the stream ends with an error event {string}', function (this: Scenario, code: string) {
  const { text, isComplete } = this.lastResponse();
  const last = text.trimEnd().split('\n\n').at(-1) ?? '';
  assert.match(last, /^event: error\ndata: /);
  assert.equal(parseRefusal(last.replace(/^event: error\ndata: /, '')).code, code);
  assert.ok(!text.includes('[DONE]'));
  assert.ok(!isComplete, 'the connection ended as if the stream were complete');
});

Then('each event of the stream is valid JSON', function (this: Scenario) {
  const lines = this.lastResponse().text.split('\n');
  lines
    .filter((line) => line.startsWith('data: '))
    .forEach((line) => JSON.parse(line.slice('data: '.length)));
});

Then('the answer says {string}: {string}', function (this: Scenario, name, value) {
  assert.equal(this.lastResponse().headers[name as string], value);
});

Then('{int} permits are left', function (this: Scenario, count: number) {
  assert.equal(this.rates.permits, count);
});
