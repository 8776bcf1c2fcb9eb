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
  whole: Completion;
  holder: Promise<'cut' | 'ended'>;
  prompt: string;
  status: number;
  answers: string[];
  ids: (string | null)[];
}

/** Passing it fails the step. */
const EVENT_TIMEOUT_MS = 10_000;

const waitUntil = async (look: () => Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + EVENT_TIMEOUT_MS;
  while (!(await look())) {
    assert.ok(performance.now() < deadline, `did not happen: ${look.toString()}`);
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

const complete = (url: string, prompt: string, options: object = {}, id?: string) => {
  const messages = [{ role: 'user', content: prompt }];
  return post(`${url}/v1/chat/completions`, { model: 'atlas-7b', messages, ...options }, id);
};

const completeWhole = async (url: string, prompt: string, tokens: number): Promise<Completion> =>
  (await complete(url, prompt, { max_tokens: tokens })).json() as Promise<Completion>;

const getContent = ({ choices }: Completion): string => choices[0]?.message?.content ?? '';

const fetchRequestLog = async (scenario: TargetWorld): Promise<LoggedRequest[]> =>
  (await (await fetch(`${getUrl(scenario)}/_standin/requests`)).json()) as LoggedRequest[];

const addEngine = async (scenario: TargetWorld, options: Partial<EngineOptions>): Promise<void> => {
  const engine = await startEngineStandin({
    tokenMs: 1,
    loadLagMs: 10,
    restartMs: 500,
    ...options,
  });
  scenario.targets.push(engine);
};

Before(function (this: TargetWorld) {
  this.targets = [];
  this.answers = [];
  this.ids = [];
});

After(async function (this: TargetWorld) {
  await Promise.all(this.targets.map((target) => target.close()));
});

Given('an engine with seed {int}', async function (this: TargetWorld, seed: number) {
  await addEngine(this, { seed });
});

Given(
  'an engine whose prefix cache holds {int} tokens',
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
  const answer = await post(`${getUrl(this)}/_standin/faults`, JSON.parse(faults) as object);
  assert.equal(answer.status, 200);
});

Given('{string} runs without end in the engine', async function (this: TargetWorld, id: string) {
  const options = { stream: true, max_tokens: 1_000_000 };
  const answer = await complete(getUrl(this), id, options, id);
  this.holder = answer.text().then(
    () => 'ended',
    () => 'cut',
  );
});

When(
  'each engine completes {string} with {int} tokens',
  async function (this: TargetWorld, prompt: string, tokens: number) {
    const answers = this.targets.map(({ url }) => completeWhole(url, prompt, tokens));
    this.contents = (await Promise.all(answers)).map(getContent);
  },
);

When(
  '{string} is streamed and completed whole with {int} tokens',
  async function (this: TargetWorld, prompt: string, tokens: number) {
    const streamed = await complete(getUrl(this), prompt, { stream: true, max_tokens: tokens });
    this.stream = await streamed.text();
    this.whole = await completeWhole(getUrl(this), prompt, tokens);
  },
);

When(
  'other prompts of {int} tokens are completed',
  async function (this: TargetWorld, count: number) {
    const prompt = Array.from({ length: count }, (_, index) => `other${index}`).join(' ');
    await completeWhole(getUrl(this), prompt, 1);
  },
);

When('the engine is given {string}', async function (this: TargetWorld, prompt: string) {
  await assert.rejects(complete(getUrl(this), prompt));
});

When(
  /^"(.*)" is (suspend|resume|cancel)(?:ed|d|led)$/,
  async function (this: TargetWorld, id: string, action: string) {
    const answer = await post(`${getUrl(this)}/v1/streams/${id}/${action}`, {});
    assert.equal(answer.status, 200);
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
      const id = `request-${this.answers.length + 1}`;
      const answer = await post(`${getUrl(this)}${path}`, {}, id).catch(() => undefined);
      const body = (await answer?.json()) as { number?: number } | undefined;
      this.answers.push(answer ? String(body?.number ?? 'refused') : 'none');
      this.ids.push(answer?.headers.get('x-request-id') ?? null);
    }
  },
);

Then(
  /^engines (\d) and (\d) answer (the same|differently)$/,
  function (this: TargetWorld, first: string, second: string, verdict: string) {
    const [left, right] = [this.contents[Number(first) - 1], this.contents[Number(second) - 1]];
    assert.equal(left === right, verdict === 'the same');
  },
);

Then(
  'both have the same content and {int} completion tokens',
  function (this: TargetWorld, tokens: number) {
    const events = this.stream.split('\n\n').filter((event) => event.startsWith('data: {'));
    const chunks = events.map((event) => JSON.parse(event.slice('data: '.length)) as Completion);
    const content = chunks.map(({ choices }) => choices[0]?.delta?.content ?? '').join('');
    assert.equal(content.trimEnd(), getContent(this.whole));
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, tokens);
    assert.equal(this.whole.usage?.completion_tokens, tokens);
  },
);

Then('the stream ends in {string}', function (this: TargetWorld, end: string) {
  assert.ok(this.stream.trimEnd().endsWith(end));
});

Then(
  /^(?:a prompt of 40 tokens|the same prompt) finds (\d+) cached tokens$/,
  async function (this: TargetWorld, cached: string) {
    const { usage } = await completeWhole(getUrl(this), this.prompt, 1);
    assert.equal(usage?.prompt_tokens_details.cached_tokens, Number(cached));
  },
);

Then('the engine refuses connections', async function (this: TargetWorld) {
  await assert.rejects(fetch(`${getUrl(this)}/v1/models`));
});

Then('{string} was cut', async function (this: TargetWorld, _id: string) {
  assert.equal(await this.holder, 'cut');
});

Then(
  'the engine accepts connections again with outcomes {string}',
  async function (this: TargetWorld, outcomes: string) {
    const isUp = async () =>
      fetch(`${getUrl(this)}/_standin/health`).then(
        () => true,
        () => false,
      );
    await waitUntil(isUp);
    const logged = await fetchRequestLog(this);
    assert.equal(logged.map(({ outcome }) => outcome).join(', '), outcomes);
  },
);

Then(
  'the load of the engine becomes {int} running and {int} suspended',
  async function (this: TargetWorld, running: number, suspended: number) {
    await waitUntil(async () => {
      const load = (await (await fetch(`${getUrl(this)}/load`)).json()) as Record<string, number>;
      return load.running === running && load.suspended === suspended;
    });
  },
);

Then(
  'the engine answers {string} with status {int}',
  async function (this: TargetWorld, prompt: string, status: number) {
    assert.equal((await complete(getUrl(this), prompt)).status, status);
  },
);

Then('the last order was answered with status {int}', function (this: TargetWorld, status: number) {
  assert.equal(this.status, status);
});

Then('the engine serves {string}', async function (this: TargetWorld, models: string) {
  const list = (await (await fetch(`${getUrl(this)}/v1/models`)).json()) as {
    data: { id: string }[];
  };
  assert.equal(list.data.map(({ id }) => id).join(', '), models);
});

Then('the answers are {string}', function (this: TargetWorld, answers: string) {
  assert.equal(this.answers.join(', '), answers);
});

Then('the outcomes are {string}', async function (this: TargetWorld, outcomes: string) {
  const logged = await fetchRequestLog(this);
  assert.equal(logged.map(({ outcome }) => outcome).join(', '), outcomes);
});

Then('the ids on the answers are {string}', function (this: TargetWorld, ids: string) {
  assert.equal(this.ids.join(', '), ids);
});
