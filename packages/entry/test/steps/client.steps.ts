import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import OpenAI from 'openai';
import { HARBOR_KEY, type Scenario } from '../fakes/Scenario.js';

const createClient = async (scenario: Scenario): Promise<OpenAI> => {
  const { url } = await scenario.entry();
  return new OpenAI({ baseURL: `${url}/v1`, apiKey: HARBOR_KEY, maxRetries: 0 });
};

const readStreamedText = async (scenario: Scenario): Promise<string> => {
  const client = await createClient(scenario);
  const stream = await client.chat.completions.create({
    model: 'tide-7b',
    messages: [{ role: 'user', content: 'Ebb?' }],
    stream: true,
  });
  let text = '';
  for await (const chunk of stream) text += chunk.choices[0]?.delta.content ?? '';
  return text;
};

Then('the openai client lists the model {string}', async function (this: Scenario, model: string) {
  const client = await createClient(this);
  const models = await client.models.list();
  assert.equal(models.data.map(({ id }) => id).join(), model);
});

Then(
  'the openai client receives the streamed text {string}',
  async function (this: Scenario, text: string) {
    assert.equal(await readStreamedText(this), text);
  },
);

Then('the openai client fails while streaming', async function (this: Scenario) {
  await assert.rejects(readStreamedText(this), /The target failed/);
});

Then('the openai client fails with status {int}', async function (this: Scenario, status: number) {
  const client = await createClient(this);
  await assert.rejects(client.models.list(), { status });
});
