import assert from 'node:assert/strict';
import { once } from 'node:events';
import { request, type IncomingMessage, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { BatchBench, inputLine } from '@jacinthlug/batch/testing/BatchBench';
import { unwrap } from '@jacinthlug/batch/testing/unwrap';
import { resultId, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import type { CancelNotice } from '@jacinthlug/protocol/messages';
import {
  hashKey,
  resolveConfiguration,
  type ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { configuration } from '@jacinthlug/settings/tree/configuration';
import { App } from '@tinyhttp/app';
import OpenAI, { APIError, toFile } from 'openai';
import type { Batch } from 'openai/resources/batches';
import { createBatchEndpoints } from '../../src/core/batches/createBatchEndpoints.js';

/** Memory for bodies; more than all of a scenario. Unit: bytes. */
const BODY_MEMORY_BYTES = 64_000_000;

const DEADLINE_MS = 10_000;

interface Scenario {
  bench: BatchBench;
  server: Server;
  /** Client of the first account. */
  client: OpenAI;
  /** Client of the second account. */
  other: OpenAI;
  batch: Batch;
  notices: { notice: CancelNotice; addresses: readonly string[] }[];
}

const createSecret = (account: string): string => `jl_${account.charAt(0)}_${account}-secret`;

const createConfiguration = (accounts: readonly string[]): ResolvedConfiguration =>
  resolveConfiguration(
    configuration.parse({
      version: 1,
      content: {
        declarations: {
          nodes: {
            chat: { kind: 'service', protocol: 'openai', models: ['olmo'] },
            ...Object.fromEntries(accounts.map((account) => [account, { kind: 'account' }])),
          },
        },
        keys: Object.fromEntries(
          accounts.map((account) => [
            account.charAt(0),
            { account, sha256: hashKey(createSecret(account)), state: 'granted', changedAt: 0 },
          ]),
        ),
      },
    }),
  );

/** Serves the endpoints like the entry host: authenticates, calls the handler, renders refusals. */
const serve = (
  scenario: Scenario,
  configurationInForce: ResolvedConfiguration,
): Promise<Server> => {
  const app = new App();
  const endpoints = createBatchEndpoints({
    ...scenario.bench,
    journal: silentJournal,
    notifyCancelled: (notice, addresses) => scenario.notices.push({ notice, addresses }),
  });
  endpoints.forEach(({ method, path, handle }) => {
    const register = { GET: app.get, POST: app.post, DELETE: app.delete }[method].bind(app);
    register(path, async (req, res) => {
      const key = configurationInForce.findKey(
        req.headers.authorization?.replace('Bearer ', '') ?? '',
      );
      assert.ok(key);
      const exchange = {
        request: req,
        response: res,
        requestId: 'request',
        deadline: performance.now() + DEADLINE_MS,
        bodies: new BodyBudget(BODY_MEMORY_BYTES),
        callerGone: new AbortController().signal,
      };
      const result = await handle(exchange, { key, configuration: configurationInForce });
      if (result.isOk()) return;
      const { status, headers, body } = renderRefusal(result.error);
      res.writeHead(status, headers).end(JSON.stringify(body));
    });
  });
  return new Promise((resolve) => {
    const server = app.listen(0, () => resolve(server), '127.0.0.1');
  });
};

const upload = async (client: OpenAI, text: string) =>
  client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(text), 'in.jsonl') });

const createBatch = (client: OpenAI, file: string, endpoint = '/v1/chat/completions') =>
  client.batches.create({
    input_file_id: file,
    endpoint: endpoint as '/v1/chat/completions',
    completion_window: '24h',
  });

const submit = async (client: OpenAI, lines: readonly string[]): Promise<Batch> =>
  createBatch(client, (await upload(client, `${lines.join('\n')}\n`)).id);

const getFailure = async (call: Promise<unknown>): Promise<APIError> => {
  const failure: unknown = await call.then(() => undefined).catch((error: unknown) => error);
  assert.ok(failure instanceof APIError);
  return failure;
};

const downloadItemIds = async (client: OpenAI, file = ''): Promise<string[]> => {
  const text = await (await client.files.content(file)).text();
  assert.equal((await client.files.retrieve(file)).bytes, Buffer.byteLength(text));
  const lines = text.split('\n').filter(Boolean);
  return lines.map((line) => (JSON.parse(line) as ResultLine).custom_id);
};

const allItems = Array.from({ length: 150 }, (_, index) => `item-${index}`);

Given(
  'a host that serves the batch endpoints to {string} and {string}',
  async function (this: Scenario, first: string, second: string) {
    this.bench = new BatchBench();
    this.notices = [];
    this.server = await serve(this, createConfiguration([first, second]));
    const { port } = this.server.address() as AddressInfo;
    const baseURL = `http://127.0.0.1:${port}/v1`;
    this.client = new OpenAI({ baseURL, apiKey: createSecret(first), maxRetries: 0 });
    this.other = new OpenAI({ baseURL, apiKey: createSecret(second), maxRetries: 0 });
  },
);

After(function (this: Partial<Scenario>) {
  this.server?.closeAllConnections();
  this.server?.close();
});

Given(
  'an agent at {string} holds the first chunk of each job',
  function (this: Scenario, address: string) {
    const { jobs, chunks } = this.bench;
    const accept = jobs.accept.bind(jobs);
    jobs.accept = async (...submission) => {
      const accepted = await accept(...submission);
      const { job } = unwrap(accepted);
      unwrap(await chunks.claim({ job, index: 0 }, { incarnation: 'agent', address }));
      return accepted;
    };
  },
);

Given(
  /^the platform (is down|loses responses and rejects reads)$/,
  function (this: Scenario, fault: string) {
    const { table } = this.bench;
    table.down = fault === 'is down';
    table.settleGivesUp = true;
    table.losesAnswer = () => {
      table.down = true;
      return true;
    };
  },
);

When(
  '{int} items are submitted, of which item {int} fails',
  async function (this: Scenario, count: number, failing: number) {
    assert.equal(count, allItems.length);
    const lines = allItems.map((id, index) =>
      inputLine(id, index === failing ? 'impossible' : 'answer'),
    );
    this.batch = await submit(this.client, lines);
  },
);

When('the agents run the job', async function (this: Scenario) {
  const { chunks, jobs } = this.bench;
  const job = unwrap(await jobs.get(this.batch.id));
  for (let index = 0; index < job.chunks; index += 1) {
    const claim = unwrap(
      await chunks.claim({ job, index }, { incarnation: 'agent', address: '127.0.0.1:7100' }),
    );
    const input = unwrap(await chunks.readInput(claim))
      .toString('utf8')
      .split('\n');
    const lines = input.filter(Boolean).map((line, item) => ({
      id: resultId(job.id, index, item),
      custom_id: (JSON.parse(line) as { custom_id: string }).custom_id,
      response: {
        status_code: line.includes('impossible') ? 400 : 200,
        request_id: 'r',
        body: { text: 'ñ' },
      },
      error: null,
    }));
    unwrap(await chunks.commit(claim, lines));
  }
});

When('the client cancels the batch', async function (this: Scenario) {
  await this.client.batches.cancel(this.batch.id);
});

When(
  '{int} files are uploaded and the newest is deleted',
  async function (this: Scenario, count: number) {
    for (let index = 0; index < count; index += 1) {
      await upload(this.client, `file ${index}`.repeat(300_000));
      await this.bench.time.advance(1000);
    }
    const [newest] = (await this.client.files.list({ limit: 1 })).data;
    assert.ok(newest);
    assert.equal((await this.client.files.delete(newest.id)).deleted, true);
  },
);

Then(
  'the batch is {string} with {int} items completed',
  async function (this: Scenario, status: string, completed: number) {
    this.batch = await this.client.batches.retrieve(this.batch.id);
    assert.equal(this.batch.status, status);
    assert.equal(this.batch.request_counts?.completed, completed);
    assert.equal(this.batch.request_counts.total, allItems.length);
    assert.deepEqual((await this.client.batches.list()).data, [this.batch]);
  },
);

Then(
  'the output file contains all items except {int}, the error file item {int}, each of the stated size',
  async function (this: Scenario, failing: number, failed: number) {
    const { output_file_id: output, error_file_id: error } = this.batch;
    const succeeded = allItems.filter((_, index) => index !== failing);
    assert.deepEqual(await downloadItemIds(this.client, output), succeeded);
    assert.deepEqual(await downloadItemIds(this.client, error), [`item-${failed}`]);
  },
);

Then(
  'the agent at {string} was notified of the cancellation once',
  function (this: Scenario, address: string) {
    const { id } = this.batch;
    assert.deepEqual(this.notices, [{ notice: { job: id }, addresses: [address] }]);
  },
);

Then(
  '{string} finds neither the batch nor its files, and its lists are empty',
  async function (this: Scenario, _account: string) {
    const { batches, files } = this.other;
    const { id, input_file_id: input } = this.batch;
    const { output_file_id: output = '' } = await this.client.batches.retrieve(id);
    const calls = [
      batches.retrieve(id),
      batches.cancel(id),
      ...[input, output].flatMap((file) => [
        files.retrieve(file),
        files.content(file),
        files.delete(file),
      ]),
      createBatch(this.other, input),
    ];
    const failures = await Promise.all(calls.map(getFailure));
    failures.forEach(({ code }) => assert.equal(code, 'not-found'));
    assert.deepEqual((await batches.list()).data, []);
    assert.deepEqual((await files.list()).data, []);
  },
);

Then(
  'these input lines get the error {int} {string} for the lines {string}',
  async function (this: Scenario, status, code, numbers, lines: DataTable) {
    const failure = await getFailure(submit(this.client, lines.raw().flat()));
    assert.deepEqual([failure.status, failure.code], [status, code]);
    const { facts } = failure.error as { facts: { lines: { line: number }[] } };
    assert.equal(facts.lines.map(({ line }) => line).join(', '), numbers);
  },
);

Then(
  'a batch of the file {string} at {string} gets the error {int} {string}',
  async function (this: Scenario, file: string, endpoint: string, status: number, code: string) {
    const call = createBatch(this.client, file, endpoint);
    const failure = await getFailure(call);
    assert.deepEqual([failure.status, failure.code], [status, code]);
  },
);

Then(
  'the client lists {int} files in pages of {int}, newest first',
  async function (this: Scenario, count: number, limit: number) {
    const names: number[] = [];
    for await (const file of this.client.files.list({ limit })) names.push(file.created_at);
    assert.equal(names.length, count);
    assert.deepEqual(
      names,
      [...names].sort((left, right) => right - left),
    );
  },
);

Then(
  /^an upload gets the error 503 "platform-unavailable", (not run|outcome unknown)$/,
  async function (this: Scenario, run: string) {
    const failure = await getFailure(upload(this.client, 'text'));
    assert.deepEqual([failure.status, failure.code], [503, 'platform-unavailable']);
    assert.equal((failure.error as { run: string }).run, run);
  },
);

Then(
  'the download of the output file fails if a chunk is unreadable',
  async function (this: Scenario) {
    const { output_file_id: id = '' } = await this.client.batches.retrieve(this.batch.id);
    const { contents } = this.bench.objects;
    const names = [...contents.keys()].filter((name) => name.includes('/000001/'));
    assert.equal(names.length, 1);
    names.forEach((name) => contents.delete(name));
    await assert.rejects(async () => (await this.client.files.content(id)).text());
  },
);

Then(
  'an upload with a content length of {int} bytes gets status {int}',
  async function (this: Scenario, bytes: number, status: number) {
    const { port } = this.server.address() as AddressInfo;
    const headers = { authorization: `Bearer ${createSecret('harbor')}`, 'content-length': bytes };
    const sent = request({ port, host: '127.0.0.1', method: 'POST', path: '/v1/files', headers });
    sent.flushHeaders();
    const [response] = (await once(sent, 'response')) as [IncomingMessage];
    sent.destroy();
    assert.equal(response.statusCode, status);
  },
);
