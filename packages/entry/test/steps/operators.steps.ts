import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { App } from '@tinyhttp/app';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import { renderRefusal, type RefusalBody } from '@jacinthlug/catalog/refusalBody';
import { refuse } from '@jacinthlug/catalog/resultCodes';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { Editor } from '@jacinthlug/control/edits/createEditor';
import type { Membership } from '@jacinthlug/control/Membership';
import type { Table } from '@jacinthlug/backing/Table';
import {
  resolveConfiguration,
  type ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { configurationContent } from '@jacinthlug/settings/tree/configuration';
import { err, ok } from 'neverthrow';
import { createOperatorEndpoints } from '../../src/core/operators/createOperatorEndpoints.js';

/** Memory for bodies; more than all of a scenario. Unit: bytes. */
const BODY_MEMORY_BYTES = 64_000_000;

interface OperatorResponse {
  readonly status: number;
  readonly body: RefusalBody & { id: string; secret: string; account: string; version: number };
}

interface Scenario {
  server?: Server;
  url: string;
  versions: ResolvedConfiguration[];
  send: (path: string, text: string) => Promise<OperatorResponse>;
  resend: () => Promise<OperatorResponse>;
  responses: OperatorResponse[];
}

const firstVersion = resolveConfiguration({
  version: 1,
  content: configurationContent.parse({
    declarations: { nodes: { harbor: { kind: 'account' } } },
    keys: {
      old: { account: 'harbor', sha256: 'a'.repeat(64), state: 'granted', changedAt: 0 },
    },
  }),
});

/** Creates an editor without a table. The tests of the control package cover the rules for commits. */
const createInMemoryEditor = (versions: ResolvedConfiguration[]): Editor => {
  const latest = (): ResolvedConfiguration => versions[versions.length - 1] ?? firstVersion;
  const add = (content: ResolvedConfiguration['configuration']['content']): number =>
    versions.push(resolveConfiguration({ version: latest().version + 1, content }));
  return {
    read: () => Promise.resolve(ok(latest().configuration)),
    commit({ baseVersion, content }) {
      if (baseVersion !== latest().version) {
        return Promise.resolve(err(refuse('configuration-conflict')));
      }
      add(content);
      return Promise.resolve(ok(latest().version));
    },
    change({ apply }) {
      const content = apply(latest().configuration.content);
      if (content.isErr()) return Promise.resolve(err(content.error));
      if (content.value !== 'unchanged') add(content.value);
      return Promise.resolve(ok(latest().version));
    },
  };
};

const serve = (versions: ResolvedConfiguration[]): App => {
  const app = new App();
  const endpoints = createOperatorEndpoints({
    name: 'entry-1',
    editor: createInMemoryEditor(versions),
    follower: {
      inForce: () => ok(versions[versions.length - 1]),
    } as unknown as ConfigurationFollower,
    membership: {} as Membership,
    table: {} as Table,
    metrics: openMetrics('entry-1'),
    fleetCredential: 'a fleet credential',
    wallNow: () => 1,
  });
  endpoints.forEach(({ method, path, handle }) => {
    const register = method === 'GET' ? app.get.bind(app) : app.post.bind(app);
    register(path, async (request, response) => {
      const exchange = {
        request,
        response,
        requestId: 'r1',
        deadline: performance.now() + 10_000,
        bodies: new BodyBudget(BODY_MEMORY_BYTES),
        callerGone: new AbortController().signal,
      };
      const outcome = await handle(exchange);
      if (outcome.isOk()) return;
      const { status, headers, body } = renderRefusal(outcome.error);
      response.writeHead(status, headers).end(JSON.stringify(body));
    });
  });
  return app;
};

const getLastResponse = ({ responses }: Scenario): OperatorResponse => {
  const response = responses[responses.length - 1];
  assert.ok(response);
  return response;
};

const getLatestVersion = ({ versions }: Scenario): ResolvedConfiguration => {
  const version = versions[versions.length - 1];
  assert.ok(version);
  return version;
};

Given('an entry host with the account {string}', async function (this: Scenario, _account: string) {
  this.versions = [firstVersion];
  this.responses = [];
  const app = serve(this.versions);
  const server = createServer((request, response) => {
    void app.handler(request as never, response as never);
  });
  this.server = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  this.url = `http://127.0.0.1:${port}`;
  this.send = async (path, text) => {
    const response = await fetch(`${this.url}${path}`, { method: 'POST', body: text });
    return { status: response.status, body: (await response.json()) as OperatorResponse['body'] };
  };
});

After(function (this: Scenario) {
  this.server?.close();
});

When(
  'an operator sends POST {string} with',
  async function (this: Scenario, path: string, text: string) {
    this.resend = () => this.send(path, text);
    this.responses.push(await this.resend());
  },
);

When('the same request is sent again', async function (this: Scenario) {
  this.responses.push(await this.resend());
});

When('the operator withdraws the key', async function (this: Scenario) {
  const { id } = getLastResponse(this).body;
  const response = await this.send(`/operator/v1/keys/${id}/withdraw`, '{ "token": "w1" }');
  assert.equal(response.status, 200);
});

Then(
  'the response has status {int} and version {int}',
  function (this: Scenario, status: number, version: number) {
    const response = getLastResponse(this);
    assert.equal(response.status, status);
    assert.equal(response.body.version, version);
  },
);

Then(
  'version {int} has the new account and keeps the keys',
  function (this: Scenario, version: number) {
    const latest = getLatestVersion(this);
    assert.equal(latest.version, version);
    assert.deepEqual([...latest.accounts.keys()], ['quay']);
    assert.deepEqual(Object.keys(latest.configuration.content.keys), ['old']);
  },
);

Then('the refusal is {string}', function (this: Scenario, code: string) {
  assert.equal(getLastResponse(this).body.error.code, code);
});

Then('the refusal contains the path {string}', function (this: Scenario, path: string) {
  const facts = JSON.stringify(getLastResponse(this).body.error.facts);
  assert.ok(facts.includes(`"path":"${path}`), facts);
});

Then(
  'both responses contain the same valid key of {string}',
  function (this: Scenario, name: string) {
    const [first, second] = this.responses;
    assert.deepEqual(first, second);
    assert.equal(getLatestVersion(this).findKey(first?.body.secret ?? '')?.account.name, name);
  },
);

Then(
  'the key is listed as {string} without its secret',
  async function (this: Scenario, state: string) {
    const { id } = getLastResponse(this).body;
    const response = await fetch(`${this.url}/operator/v1/keys`);
    const { keys } = (await response.json()) as { keys: { id: string; state: string }[] };
    const listed = keys.find((key) => key.id === id);
    assert.deepEqual(listed, { id, account: 'harbor', state, changedAt: 1 });
  },
);

Then('the key is not valid', function (this: Scenario) {
  assert.equal(getLatestVersion(this).findKey(getLastResponse(this).body.secret), undefined);
});

Then('the same grant is refused with {string}', async function (this: Scenario, code: string) {
  const response = await this.resend();
  assert.equal(response.body.error.code, code);
});

Then('the host {string} is drained', function (this: Scenario, host: string) {
  assert.ok(getLatestVersion(this).isDrained(host));
});
