import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import type { EngineOptions } from '../../src/engine/engineOptions.js';
import { startEngineStandin } from '../../src/engine/startEngineStandin.js';
import { startServiceStandin } from '../../src/service/startServiceStandin.js';
import type { LoggedRequest } from '../../src/target/LoggedRequest.js';
import type { TargetStandin } from '../../src/target/TargetServer.js';

interface Completion {
  choices: { message?: { content: string }; delta?: { content?: string } }[];
  usage?: { completion_tokens: number; prompt_tokens_details: { cached_tokens: number } };
}

interface TargetWorld {
  targets: TargetStandin[];
  contents: string[];
  stream: string;
  singleResponse: Completion;
  holder: Promise<'cut' | 'ended'>;
  prompt: string;
  status: number;
  responses: string[];
  ids: (string | null)[];
}

/** Timeout for a condition that a step waits for. Unit: ms. */
const EVENT_TIMEOUT_MS = 10_000;

const waitUntil = async (condition: () => Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + EVENT_TIMEOUT_MS;
  while (!(await condition())) {
    assert.ok(performance.now() < deadline, `condition not met: ${condition.toString()}`);
    await sleep(5);
  }
};

const getUrl = ({ targets }: TargetWorld, index = 0): string => targets[index]?.url ?? '';

const post = (url: string, value: object, id = 'request'): Promise<Response> =>
  fetch(url, {
    method: 'POST',
    headers: { 'x-request-id': id, 'content-type': 'application/json' },
    body: JSON.stringify(value),
  });

const postCompletion = (url: string, prompt: string, options: object = {}, id?: string) => {
  const messages = [{ role: 'user', content: prompt }];
  return post(`${url}/v1/chat/completions`, { model: 'atlas-7b', messages, ...options }, id);
};

const requestCompletion = async (
  url: string,
  prompt: string,
  tokens: number,
): Promise<Completion> =>
  (await postCompletion(url, prompt, { max_tokens: tokens })).json() as Promise<Completion>;

const getContent = ({ choices }: Completion): string => choices[0]?.message?.content ?? '';

const fetchRequestLog = async (world: TargetWorld): Promise<LoggedRequest[]> =>
  (await (await fetch(`${getUrl(world)}/_standin/requests`)).json()) as LoggedRequest[];

const addEngine = async (world: TargetWorld, options: Partial<EngineOptions>): Promise<void> => {
  const engine = await startEngineStandin({
    tokenMs: 1,
    loadLagMs: 10,
    restartMs: 500,
    ...options,
  });
  world.targets.push(engine);
};

Before(function (this: TargetWorld) {
  this.targets = [];
  this.responses = [];
  this.ids = [];
});

After(async function (this: TargetWorld) {
  await Promise.all(this.targets.map((target) => target.close()));
});

Given('an engine with seed {int}', async function (this: TargetWorld, seed: number) {
  await addEngine(this, { seed });
});

Given(
  'an engine with a prefix cache of {int} tokens',
  async function (this: TargetWorld, cacheTokens: number) {
    await addEngine(this, { cacheTokens });
    this.prompt = Array.from({ length: 39 }, (_, index) => `word${index}`).join(' ');
  },
);

Given(
  /^an engine that (checks|ignores) fencing numbers$/,
  async function (this: TargetWorld, checks: string) {
    await addEngine(this, { checksFencing: checks === 'checks' });
  },
);

Given('a service', async function (this: TargetWorld) {
  this.targets.push(await startServiceStandin());
});

Given('the service has the faults {string}', async function (this: TargetWorld, faults: string) {
  const response = await post(`${getUrl(this)}/_standin/faults`, JSON.parse(faults) as object);
  assert.equal(response.status, 200);
});

Given(
  'the request {string} runs indefinitely on the engine',
  async function (this: TargetWorld, id: string) {
    const options = { stream: true, max_tokens: 1_000_000 };
    const response = await postCompletion(getUrl(this), id, options, id);
    this.holder = response.text().then(
      () => 'ended',
      () => 'cut',
    );
  },
);

When(
  'each engine completes {string} with {int} tokens',
  async function (this: TargetWorld, prompt: string, tokens: number) {
    const responses = this.targets.map(({ url }) => requestCompletion(url, prompt, tokens));
    this.contents = (await Promise.all(responses)).map(getContent);
  },
);

When(
  '{string} is completed with {int} tokens, streamed and as a single response',
  async function (this: TargetWorld, prompt: string, tokens: number) {
    const streamed = await postCompletion(getUrl(this), prompt, {
      stream: true,
      max_tokens: tokens,
    });
    this.stream = await streamed.text();
    this.singleResponse = await requestCompletion(getUrl(this), prompt, tokens);
  },
);

When(
  'another prompt of {int} tokens is completed',
  async function (this: TargetWorld, count: number) {
    const prompt = Array.from({ length: count }, (_, index) => `other${index}`).join(' ');
    await requestCompletion(getUrl(this), prompt, 1);
  },
);

When('the engine receives the prompt {string}', async function (this: TargetWorld, prompt: string) {
  await assert.rejects(postCompletion(getUrl(this), prompt));
});

When(
  /^"(.*)" is (suspend|resume|cancel)(?:ed|d|led)$/,
  async function (this: TargetWorld, id: string, action: string) {
    const response = await post(`${getUrl(this)}/v1/streams/${id}/${action}`, {});
    assert.equal(response.status, 200);
  },
);

When(
  'the order {int} to {word} {string} is sent',
  async function (this: TargetWorld, number: number, action: string, model: string) {
    this.status = (await post(`${getUrl(this)}/orders`, { number, model, action })).status;
  },
);

When(
  '{string} is called {int} time(s)',
  async function (this: TargetWorld, path: string, times: number) {
    for (let count = 0; count < times; count += 1) {
      const id = `request-${this.responses.length + 1}`;
      const response = await post(`${getUrl(this)}${path}`, {}, id).catch(() => undefined);
      const body = (await response?.json()) as { number?: number } | undefined;
      this.responses.push(response ? String(body?.number ?? 'refused') : 'none');
      this.ids.push(response?.headers.get('x-request-id') ?? null);
    }
  },
);

Then(
  /^engines (\d) and (\d) answer (the same|differently)$/,
  function (this: TargetWorld, first: string, second: string, comparison: string) {
    const [left, right] = [this.contents[Number(first) - 1], this.contents[Number(second) - 1]];
    assert.equal(left === right, comparison === 'the same');
  },
);

Then(
  'both responses have the same content and {int} completion tokens',
  function (this: TargetWorld, tokens: number) {
    const events = this.stream.split('\n\n').filter((event) => event.startsWith('data: {'));
    const chunks = events.map((event) => JSON.parse(event.slice('data: '.length)) as Completion);
    const content = chunks.map(({ choices }) => choices[0]?.delta?.content ?? '').join('');
    assert.equal(content.trimEnd(), getContent(this.singleResponse));
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, tokens);
    assert.equal(this.singleResponse.usage?.completion_tokens, tokens);
  },
);

Then('the stream ends with {string}', function (this: TargetWorld, end: string) {
  assert.ok(this.stream.trimEnd().endsWith(end));
});

Then(
  /^(?:a prompt of 40 tokens|the same prompt) finds (\d+) cached tokens$/,
  async function (this: TargetWorld, cached: string) {
    const { usage } = await requestCompletion(getUrl(this), this.prompt, 1);
    assert.equal(usage?.prompt_tokens_details.cached_tokens, Number(cached));
  },
);

Then('the engine refuses connections', async function (this: TargetWorld) {
  await assert.rejects(fetch(`${getUrl(this)}/v1/models`));
});

Then('the connection of {string} was destroyed', async function (this: TargetWorld, _id: string) {
  assert.equal(await this.holder, 'cut');
});

Then(
  'the engine accepts connections again and has logged the outcomes {string}',
  async function (this: TargetWorld, outcomes: string) {
    const isUp = async () =>
      fetch(`${getUrl(this)}/_standin/health`).then(
        () => true,
        () => false,
      );
    await waitUntil(isUp);
    const requestLog = await fetchRequestLog(this);
    assert.equal(requestLog.map(({ outcome }) => outcome).join(', '), outcomes);
  },
);

Then(
  'the load reported by the engine becomes {int} running and {int} suspended',
  async function (this: TargetWorld, running: number, suspended: number) {
    await waitUntil(async () => {
      const load = (await (await fetch(`${getUrl(this)}/load`)).json()) as Record<string, number>;
      return load.running === running && load.suspended === suspended;
    });
  },
);

Then(
  'the engine responds to {string} with status {int}',
  async function (this: TargetWorld, prompt: string, status: number) {
    assert.equal((await postCompletion(getUrl(this), prompt)).status, status);
  },
);

Then(
  'the response to the last order has status {int}',
  function (this: TargetWorld, status: number) {
    assert.equal(this.status, status);
  },
);

Then('the engine serves {string}', async function (this: TargetWorld, models: string) {
  const list = (await (await fetch(`${getUrl(this)}/v1/models`)).json()) as {
    data: { id: string }[];
  };
  assert.equal(list.data.map(({ id }) => id).join(', '), models);
});

Then('the responses are {string}', function (this: TargetWorld, responses: string) {
  assert.equal(this.responses.join(', '), responses);
});

Then('the logged outcomes are {string}', async function (this: TargetWorld, outcomes: string) {
  const requestLog = await fetchRequestLog(this);
  assert.equal(requestLog.map(({ outcome }) => outcome).join(', '), outcomes);
});

Then('the ids of the responses are {string}', function (this: TargetWorld, ids: string) {
  assert.equal(this.ids.join(', '), ids);
});
