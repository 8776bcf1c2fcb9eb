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

interface Scenario {
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
const EVENT_LIMIT_MS = 10_000;

const eventually = async (look: () => Promise<boolean>): Promise<void> => {
  const deadline = performance.now() + EVENT_LIMIT_MS;
  while (!(await look())) {
    assert.ok(performance.now() < deadline, `did not happen: ${look.toString()}`);
    await sleep(5);
  }
};

const urlOf = ({ targets }: Scenario, index = 0): string => targets[index]?.url ?? '';

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

const contentOf = ({ choices }: Completion): string => choices[0]?.message?.content ?? '';

const loggedBy = async (scenario: Scenario): Promise<LoggedRequest[]> =>
  (await (await fetch(`${urlOf(scenario)}/_standin/requests`)).json()) as LoggedRequest[];

const addEngine = async (scenario: Scenario, options: Partial<EngineOptions>): Promise<void> => {
  const engine = await startEngineStandin({
    tokenMs: 1,
    loadLagMs: 10,
    restartMs: 500,
    ...options,
  });
  scenario.targets.push(engine);
};

Before(function (this: Scenario) {
  this.targets = [];
  this.answers = [];
  this.ids = [];
});

After(async function (this: Scenario) {
  await Promise.all(this.targets.map((target) => target.close()));
});

Given('an engine with seed {int}', async function (this: Scenario, seed: number) {
  await addEngine(this, { seed });
});

Given(
  'an engine whose prefix cache holds {int} tokens',
  async function (this: Scenario, cacheTokens: number) {
    await addEngine(this, { cacheTokens });
    this.prompt = Array.from({ length: 39 }, (_, index) => `word${index}`).join(' ');
  },
);

Given(
  /^an engine that (checks|ignores) fencing numbers$/,
  async function (this: Scenario, checks: string) {
    await addEngine(this, { checksFencing: checks === 'checks' });
  },
);

Given('a service', async function (this: Scenario) {
  this.targets.push(await startServiceStandin());
});

Given('the service has the faults {string}', async function (this: Scenario, faults: string) {
  const answer = await post(`${urlOf(this)}/_standin/faults`, JSON.parse(faults) as object);
  assert.equal(answer.status, 200);
});

Given('{string} runs without end in the engine', async function (this: Scenario, id: string) {
  const options = { stream: true, max_tokens: 1_000_000 };
  const answer = await complete(urlOf(this), id, options, id);
  this.holder = answer.text().then(
    () => 'ended',
    () => 'cut',
  );
});

When(
  'each engine completes {string} with {int} tokens',
  async function (this: Scenario, prompt: string, tokens: number) {
    const answers = this.targets.map(({ url }) => completeWhole(url, prompt, tokens));
    this.contents = (await Promise.all(answers)).map(contentOf);
  },
);

When(
  '{string} is streamed and completed whole with {int} tokens',
  async function (this: Scenario, prompt: string, tokens: number) {
    const streamed = await complete(urlOf(this), prompt, { stream: true, max_tokens: tokens });
    this.stream = await streamed.text();
    this.whole = await completeWhole(urlOf(this), prompt, tokens);
  },
);

When('other prompts of {int} tokens are completed', async function (this: Scenario, count: number) {
  const prompt = Array.from({ length: count }, (_, index) => `other${index}`).join(' ');
  await completeWhole(urlOf(this), prompt, 1);
});

When('the engine is given {string}', async function (this: Scenario, prompt: string) {
  await assert.rejects(complete(urlOf(this), prompt));
});

When(
  /^"(.*)" is (suspend|resume|cancel)(?:ed|d|led)$/,
  async function (this: Scenario, id: string, action: string) {
    const answer = await post(`${urlOf(this)}/v1/streams/${id}/${action}`, {});
    assert.equal(answer.status, 200);
  },
);

When(
  'the order {int} to {word} {string} is sent',
  async function (this: Scenario, number: number, action: string, model: string) {
    this.status = (await post(`${urlOf(this)}/orders`, { number, model, action })).status;
  },
);

When(
  '{string} is called {int} time(s)',
  async function (this: Scenario, path: string, times: number) {
    for (let count = 0; count < times; count += 1) {
      const id = `request-${this.answers.length + 1}`;
      const answer = await post(`${urlOf(this)}${path}`, {}, id).catch(() => undefined);
      const body = (await answer?.json()) as { number?: number } | undefined;
      this.answers.push(answer ? String(body?.number ?? 'refused') : 'none');
      this.ids.push(answer?.headers.get('x-request-id') ?? null);
    }
  },
);

Then(
  /^engines (\d) and (\d) answer (the same|differently)$/,
  function (this: Scenario, first: string, second: string, verdict: string) {
    const [left, right] = [this.contents[Number(first) - 1], this.contents[Number(second) - 1]];
    assert.equal(left === right, verdict === 'the same');
  },
);

Then(
  'both have the same content and {int} completion tokens',
  function (this: Scenario, tokens: number) {
    const events = this.stream.split('\n\n').filter((event) => event.startsWith('data: {'));
    const chunks = events.map((event) => JSON.parse(event.slice('data: '.length)) as Completion);
    const content = chunks.map(({ choices }) => choices[0]?.delta?.content ?? '').join('');
    assert.equal(content.trimEnd(), contentOf(this.whole));
    assert.equal(chunks.at(-1)?.usage?.completion_tokens, tokens);
    assert.equal(this.whole.usage?.completion_tokens, tokens);
  },
);

Then('the stream ends in {string}', function (this: Scenario, end: string) {
  assert.ok(this.stream.trimEnd().endsWith(end));
});

Then(
  /^(?:a prompt of 40 tokens|the same prompt) finds (\d+) cached tokens$/,
  async function (this: Scenario, cached: string) {
    const { usage } = await completeWhole(urlOf(this), this.prompt, 1);
    assert.equal(usage?.prompt_tokens_details.cached_tokens, Number(cached));
  },
);

Then('the engine refuses connections', async function (this: Scenario) {
  await assert.rejects(fetch(`${urlOf(this)}/v1/models`));
});

Then('{string} was cut', async function (this: Scenario, _id: string) {
  assert.equal(await this.holder, 'cut');
});

Then(
  'the engine accepts connections again with outcomes {string}',
  async function (this: Scenario, outcomes: string) {
    const isUp = async () =>
      fetch(`${urlOf(this)}/_standin/health`).then(
        () => true,
        () => false,
      );
    await eventually(isUp);
    const logged = await loggedBy(this);
    assert.equal(logged.map(({ outcome }) => outcome).join(', '), outcomes);
  },
);

Then(
  'the load of the engine becomes {int} running and {int} suspended',
  async function (this: Scenario, running: number, suspended: number) {
    await eventually(async () => {
      const load = (await (await fetch(`${urlOf(this)}/load`)).json()) as Record<string, number>;
      return load.running === running && load.suspended === suspended;
    });
  },
);

Then(
  'the engine answers {string} with status {int}',
  async function (this: Scenario, prompt: string, status: number) {
    assert.equal((await complete(urlOf(this), prompt)).status, status);
  },
);

Then('the last order was answered with status {int}', function (this: Scenario, status: number) {
  assert.equal(this.status, status);
});

Then('the engine serves {string}', async function (this: Scenario, models: string) {
  const list = (await (await fetch(`${urlOf(this)}/v1/models`)).json()) as {
    data: { id: string }[];
  };
  assert.equal(list.data.map(({ id }) => id).join(', '), models);
});

Then('the answers are {string}', function (this: Scenario, answers: string) {
  assert.equal(this.answers.join(', '), answers);
});

Then('the outcomes are {string}', async function (this: Scenario, outcomes: string) {
  const logged = await loggedBy(this);
  assert.equal(logged.map(({ outcome }) => outcome).join(', '), outcomes);
});

Then('the ids on the answers are {string}', function (this: Scenario, ids: string) {
  assert.equal(this.ids.join(', '), ids);
});
