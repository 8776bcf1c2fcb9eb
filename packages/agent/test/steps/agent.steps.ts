import assert from 'node:assert/strict';
import type { RefusalBody } from '@jacinthlug/catalog/refusalBody';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { After, Given, Then, When } from '@cucumber/cucumber';
import {
  AgentFixture,
  eventually,
  type ForwardedRequest,
  type ReceivedResponse,
} from '../support/AgentFixture.js';
import { getKeyId } from '../support/fakeFollower.js';

interface Scenario {
  fixture: AgentFixture;
  /** Response to the latest request of each id. */
  responses: Map<string, Promise<ReceivedResponse>>;
  callers: Map<string, AbortController>;
  exitCode: Promise<number>;
}

const ENDLESS_TOKENS = 1_000_000;

const CREDENTIAL = 'jl_k1_0123456789abcdef';

const start = async (scenario: Scenario, ...options: Parameters<typeof AgentFixture.start>) => {
  Object.assign(scenario, {
    fixture: await AgentFixture.start(...options),
    responses: new Map(),
    callers: new Map(),
  });
};

const forward = (scenario: Scenario, request: ForwardedRequest): Promise<ReceivedResponse> => {
  const caller = new AbortController();
  const response = scenario.fixture.forward(request, caller.signal);
  // A request aborted by its caller gets no response.
  response.catch(() => undefined);
  scenario.responses.set(request.id, response);
  scenario.callers.set(request.id, caller);
  return response;
};

const getResponse = async (scenario: Scenario, id: string): Promise<ReceivedResponse> => {
  const response = await scenario.responses.get(id);
  assert.ok(response, `${id} was not forwarded`);
  return response;
};

const forwardAndWait = async (scenario: Scenario, request: ForwardedRequest): Promise<void> => {
  const { waiting } = await scenario.fixture.getLoadReport();
  void forward(scenario, request);
  await eventually(async () => (await scenario.fixture.getLoadReport()).waiting > waiting);
};

const parseError = ({ text }: ReceivedResponse): RefusalBody['error'] =>
  (JSON.parse(text) as RefusalBody).error;

/** Differences from a plain request, by the text of the step. */
const variants: Record<string, Omit<ForwardedRequest, 'id'>> = {
  'without streaming': { isStreamed: false },
  'without a key': { isKeyless: true },
  'as a non-repeatable request': { headers: { [innerHeaders.repeatable]: 'false' } },
  'as a suspect': { headers: { [innerHeaders.suspect]: 'true' } },
  'with a wait limit of 30 ms': { headers: { [innerHeaders.waitLimitMs]: '30' } },
  'with the key of "lantern"': { headers: { [innerHeaders.key]: getKeyId('lantern') } },
  'with another fleet credential': { headers: { [innerHeaders.fleet]: 'another-credential' } },
  'with a body without end and a deadline of 300 ms': {
    isEndless: true,
    headers: { [innerHeaders.remainingMs]: '300' },
  },
  'with every kind of credential': {
    headers: {
      authorization: `Bearer ${CREDENTIAL}`,
      'x-api-key': CREDENTIAL,
      'api-key': CREDENTIAL,
      cookie: `key=${CREDENTIAL}`,
      'proxy-authorization': `Bearer ${CREDENTIAL}`,
      traceparent: CREDENTIAL,
      'x-anything': CREDENTIAL,
    },
  },
};

const variantNames = new RegExp(`^"([^"]*)" is forwarded (${Object.keys(variants).join('|')})$`);

const isBatch = ({ prompt }: { prompt: string }): boolean => prompt.startsWith('batch item');

After(async function (this: Scenario) {
  if (!this.fixture) return;
  this.callers.forEach((caller) => caller.abort());
  await this.fixture.stop();
});

Given('an agent whose target has {int} slot(s)', async function (this: Scenario, slots: number) {
  await start(this, { concurrency: slots });
});

Given(
  'an agent whose target has {int} slots and that stops within {int} ms',
  async function (this: Scenario, concurrency: number, stopWithinMs: number) {
    await start(this, { concurrency }, { stopWithinMs });
  },
);

Given(
  'an agent whose target has {int} slots, all held by batch streams',
  async function (this: Scenario, slots: number) {
    const settings = { concurrency: slots, batchConcurrency: slots };
    await start(this, settings, { batchStreams: slots });
    await eventually(async () => (await this.fixture.listRuns()).length === slots);
  },
);

const runWithoutEnd = (scenario: Scenario, id: string, account: string): Promise<void> =>
  new Promise((resolve) => {
    void forward(scenario, { id, account, tokens: ENDLESS_TOKENS, onFirstBytes: resolve });
  });

Given('{string} runs without end', async function (this: Scenario, id: string) {
  await runWithoutEnd(this, id, 'harbor');
});

Given(
  '{int} requests of {string} run without end',
  async function (this: Scenario, count: number, account: string) {
    const ids = Array.from({ length: count }, (_, index) => `${account}-${index}`);
    await Promise.all(ids.map((id) => runWithoutEnd(this, id, account)));
  },
);

Given(
  '{string} waits in the target for a buffered response of {int} tokens',
  async function (this: Scenario, id: string, tokens: number) {
    void forward(this, { id, tokens, isStreamed: false });
    await this.fixture.waitUntilInTarget(id);
  },
);

Given('a request for {int} tokens has completed', async function (this: Scenario, tokens: number) {
  const { status } = await forward(this, { id: 'earlier', tokens });
  assert.equal(status, 200);
});

Given('the target has the faults {string}', async function (this: Scenario, faults: string) {
  await this.fixture.setFaults(JSON.parse(faults) as object);
});

Given('the agent cannot confirm its configuration', function (this: Scenario) {
  this.fixture.follower.isConfirmed = false;
});

When('the key of {string} is withdrawn', function (this: Scenario, account: string) {
  this.fixture.adoptGrants(['harbor', 'lantern'].filter((name) => name !== account));
});

When('the key of {string} is granted', function (this: Scenario, account: string) {
  this.fixture.adoptGrants([account]);
});

When('the tree marks the target as draining', function (this: Scenario) {
  this.fixture.adoptGrants(['harbor', 'lantern'], { drained: true });
});

When('the host list marks the target as draining', function (this: Scenario) {
  this.fixture.members.forEach((member) => Object.assign(member, { state: 'leaving' }));
});

When('{string} is forwarded', async function (this: Scenario, id: string) {
  await forward(this, { id });
});

When(
  '{string} is forwarded for the model {string}',
  async function (this: Scenario, id: string, model: string) {
    await forward(this, { id, model });
  },
);

When(variantNames, async function (this: Scenario, id: string, variant: string) {
  await forward(this, { id, ...variants[variant] });
});

When('{int} endless requests are forwarded', function (this: Scenario, count: number) {
  Array.from({ length: count }, (_, index) =>
    forward(this, { id: `endless-${index}`, tokens: ENDLESS_TOKENS }),
  );
});

When(
  '{string} is forwarded for {int} tokens with a deadline of {int} ms',
  async function (this: Scenario, id: string, tokens: number, deadlineMs: number) {
    await forward(this, {
      id,
      tokens,
      headers: { [innerHeaders.remainingMs]: String(deadlineMs) },
    });
  },
);

When('{string} is forwarded by {string}', function (this: Scenario, id: string, account: string) {
  void forward(this, { id, account });
});

When(
  '{string} is forwarded by {string} and waits',
  async function (this: Scenario, id: string, account: string) {
    await forwardAndWait(this, { id, account });
  },
);

When(
  '{int} requests are forwarded by {string} and wait',
  async function (this: Scenario, count: number, account: string) {
    for (let index = 0; index < count; index += 1) {
      await forwardAndWait(this, { id: `${account}-${index}`, account });
    }
  },
);

When(
  '{string} is forwarded as a suspect without end and waits',
  async function (this: Scenario, id: string) {
    const headers = { [innerHeaders.suspect]: 'true' };
    await forwardAndWait(this, { id, tokens: ENDLESS_TOKENS, headers });
  },
);

When(
  '{string} is forwarded with the next version and waits for it',
  async function (this: Scenario, id: string) {
    const { follower, version } = this.fixture;
    const listening = follower.listenerCount();
    void forward(this, { id, headers: { [innerHeaders.version]: String(version + 1) } });
    await eventually(() => follower.listenerCount() > listening);
  },
);

When('{string} is aborted by its caller', function (this: Scenario, id: string) {
  this.callers.get(id)?.abort();
});

When('the agent is asked to stop', function (this: Scenario) {
  this.exitCode = this.fixture.agent.stop();
});

Then('{string} gets a complete response', async function (this: Scenario, id: string) {
  const response = await getResponse(this, id);
  assert.equal(response.status, 200, response.text);
  assert.equal(response.headers.get(innerHeaders.request), id);
  const isStream = response.headers.get('content-type') === 'text/event-stream';
  assert.ok(isStream ? response.text.endsWith('data: [DONE]\n\n') : JSON.parse(response.text));
  assert.ok(!response.isTruncated);
});

Then(
  '{string} is refused with {string} as {string}',
  async function (this: Scenario, id: string, code: string, run: string) {
    const response = await getResponse(this, id);
    const error = parseError(response);
    assert.deepEqual([error.code, error.run], [code, run]);
    assert.equal(response.headers.has('retry-after'), error.retryAfterSeconds !== undefined);
    if (code === 'overloaded') assert.ok(Number(response.headers.get('retry-after')) >= 1);
  },
);

Then(
  '{string} is refused with {string} naming {string} and {string}',
  async function (this: Scenario, id: string, code: string, first: string, second: string) {
    const error = parseError(await getResponse(this, id));
    assert.equal(error.code, code);
    const named = error.facts?.fingerprints as string[];
    assert.deepEqual(new Set(named), new Set([`print-${first}`, `print-${second}`]));
  },
);

Then(
  '{int} request of {string} is refused with {string}',
  async function (this: Scenario, count: number, account: string, code: string) {
    const refused: string[] = [];
    this.responses.forEach((response, id) => {
      if (!id.startsWith(account)) return;
      void response.then(
        (received) => refused.push(parseError(received).code),
        () => undefined,
      );
    });
    await eventually(() => refused.length >= count);
    assert.deepEqual(refused, Array<string>(count).fill(code));
  },
);

Then('{string} still waits', async function (this: Scenario, id: string) {
  const { waiting } = await this.fixture.getLoadReport();
  assert.equal(waiting, 8);
  assert.ok((await this.fixture.listRuns()).every(({ prompt }) => prompt !== id));
});

Then(
  /^the target was (not given|given) "(.*)"(?: once)?$/,
  async function (this: Scenario, verdict: string, id: string) {
    const given = (await this.fixture.listRuns()).filter(({ prompt }) => prompt === id);
    assert.equal(given.length, verdict === 'given' ? 1 : 0);
  },
);

Then(
  'the target is given {string} and not {string}',
  async function (this: Scenario, id: string, other: string) {
    await this.fixture.waitUntilInTarget(id);
    assert.ok((await this.fixture.listRuns()).every(({ prompt }) => prompt !== other));
    assert.equal((await this.fixture.getLoadReport()).running, 1);
  },
);

Then(
  'the target ended {string} as {string}',
  async function (this: Scenario, id: string, outcome: string) {
    await eventually(async () =>
      (await this.fixture.listRuns()).some((run) => run.prompt === id && run.outcome === outcome),
    );
  },
);

Then(
  '{int} batch stream(s) was/were cancelled at the target for it/them',
  async function (this: Scenario, count: number) {
    const isCancelled = async () => {
      const batch = (await this.fixture.listRuns()).filter(isBatch);
      return batch.filter(({ outcome }) => outcome === 'cancelled').length >= count;
    };
    await eventually(isCancelled);
    const batch = (await this.fixture.listRuns()).filter(isBatch);
    assert.equal(batch.filter(({ outcome }) => outcome === 'cancelled').length, count);
    assert.deepEqual(
      this.fixture.worker.failures,
      Array.from({ length: count }, () => ({ kind: 'cancelled' })),
    );
  },
);

Then('{int} batch streams are in the target again', async function (this: Scenario, count: number) {
  await eventually(async () => (await this.fixture.getLoadReport()).batch === count);
});

Then('no batch stream is in the target', async function (this: Scenario) {
  assert.equal((await this.fixture.getLoadReport()).batch, 0);
  const batch = (await this.fixture.listRuns()).filter(isBatch);
  assert.ok(batch.every(({ outcome }) => outcome === 'cancelled'));
});

Then(
  '{string} is among the first {int} of those that waited',
  async function (this: Scenario, id: string, count: number) {
    await getResponse(this, id);
    const waited = (await this.fixture.listRuns()).slice(1, 1 + count);
    assert.ok(waited.some(({ prompt }) => prompt === id));
  },
);

Then(
  'the connection of {string} was closed without a final event',
  async function (this: Scenario, id: string) {
    const response = await getResponse(this, id);
    assert.ok(response.isTruncated);
    assert.ok(!response.text.includes('[DONE]'));
  },
);

Then('the response to {string} is not complete', async function (this: Scenario, id: string) {
  const response = await getResponse(this, id);
  assert.ok(!response.text.includes('[DONE]'));
  assert.ok(response.isTruncated || parseError(response).code === 'deadline-passed');
});

Then('the response to {string} contains no output', async function (this: Scenario, id: string) {
  const { text } = await getResponse(this, id);
  assert.ok(!text.includes('choices'));
});

Then('the agent serves again after the restart', async function (this: Scenario) {
  await eventually(async () => (await this.fixture.getLoadReport()).state === 'serving');
  assert.equal((await forward(this, { id: 'after' })).status, 200);
});

Then('the target received no credential', async function (this: Scenario) {
  const seen = JSON.stringify(await this.fixture.listRuns());
  assert.ok(!seen.includes(CREDENTIAL));
  assert.ok(!seen.includes('fleet-credential'));
  assert.ok(!seen.includes('jacinthlug-'));
});

Then('the load report states {string}', async function (this: Scenario, state: string) {
  assert.equal((await this.fixture.getLoadReport()).state, state);
});

Then('the load report contains an expected wait', async function (this: Scenario) {
  assert.ok((await this.fixture.getLoadReport()).expectedWaitMs > 0);
});

Then('the agent ends with exit code {int}', async function (this: Scenario, code: number) {
  assert.equal(await this.exitCode, code);
});
