import assert from 'node:assert/strict';
import { request, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { BatchBench, inputLine } from '@jacinthlug/batch/testing/BatchBench';
import { unwrap } from '@jacinthlug/batch/testing/unwrap';
import { resultId, type ResultLine } from '@jacinthlug/batch/results/resultLine';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { CancelNotice } from '@jacinthlug/protocol/messages';
import { hashKey, openCatalogue, type Catalogue } from '@jacinthlug/settings/tree/Catalogue';
import { configuration } from '@jacinthlug/settings/tree/configuration';
import { App } from '@tinyhttp/app';
import OpenAI, { APIError, toFile } from 'openai';
import type { Batch } from 'openai/resources/batches';
import { createBatchEndpoints } from '../../src/core/batches/createBatchEndpoints.js';

const DEADLINE_MS = 10_000;

interface Scenario {
  bench: BatchBench;
  server: Server;
  clients: Map<string, OpenAI>;
  client: OpenAI;
  batch: Batch;
  error: unknown;
  notices: { notice: CancelNotice; addresses: readonly string[] }[];
}

const secretOf = (account: string): string => `jl_${account.charAt(0)}_${account}-secret`;

const describeAccounts = (accounts: readonly string[]): Catalogue =>
  openCatalogue(
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
            { account, sha256: hashKey(secretOf(account)), state: 'granted', changedAt: 0 },
          ]),
        ),
      },
    }),
  );

/** Serves the endpoints as the entry host does: key, handler, refusal. */
const serve = (scenario: Scenario, catalogue: Catalogue): Promise<Server> => {
  const app = new App();
  const endpoints = createBatchEndpoints({
    ...scenario.bench,
    journal: silentJournal,
    notifyCancelled: (notice, addresses) => scenario.notices.push({ notice, addresses }),
  });
  endpoints.forEach(({ method, path, handle }) => {
    const register = { GET: app.get, POST: app.post, DELETE: app.delete }[method].bind(app);
    register(path, async (req, res) => {
      const key = catalogue.findKey(req.headers.authorization?.replace('Bearer ', '') ?? '');
      assert.ok(key);
      const exchange = {
        request: req,
        response: res,
        requestId: 'request',
        deadline: performance.now() + DEADLINE_MS,
        callerGone: new AbortController().signal,
      };
      const result = await handle(exchange, { key, catalogue });
      if (result.isOk()) return;
      const { status, headers, body } = renderRefusal(result.error);
      res.writeHead(status, headers).end(JSON.stringify(body));
    });
  });
  return new Promise((resolve) => {
    const server = app.listen(0, () => resolve(server), '127.0.0.1');
  });
};

const clientOf = ({ clients }: Scenario, account: string): OpenAI => {
  const client = clients.get(account);
  assert.ok(client);
  return client;
};

const upload = async (client: OpenAI, text: string) =>
  client.files.create({ purpose: 'batch', file: await toFile(Buffer.from(text), 'in.jsonl') });

const submit = async (client: OpenAI, lines: readonly string[]): Promise<Batch> =>
  client.batches.create({
    input_file_id: (await upload(client, `${lines.join('\n')}\n`)).id,
    endpoint: '/v1/chat/completions',
    completion_window: '24h',
  });

const failureOf = async (call: Promise<unknown>): Promise<APIError> => {
  const failure: unknown = await call.then(() => undefined).catch((fault: unknown) => fault);
  assert.ok(failure instanceof APIError);
  return failure;
};

const idsIn = async (client: OpenAI, file: string | undefined): Promise<string[]> => {
  const text = await (await client.files.content(file ?? '')).text();
  const lines = text.split('\n').filter(Boolean);
  return lines.map((line) => (JSON.parse(line) as ResultLine).custom_id);
};

const allItems = Array.from({ length: 150 }, (_, index) => `item-${index}`);

Given(
  'an entry host with the accounts {string} and {string}',
  async function (this: Scenario, first: string, second: string) {
    this.bench = new BatchBench();
    this.notices = [];
    this.server = await serve(this, describeAccounts([first, second]));
    const { port } = this.server.address() as AddressInfo;
    const open = (account: string): OpenAI =>
      new OpenAI({
        baseURL: `http://127.0.0.1:${port}/v1`,
        apiKey: secretOf(account),
        maxRetries: 0,
      });
    this.clients = new Map([first, second].map((account) => [account, open(account)]));
    this.client = open(first);
  },
);

After(function (this: Partial<Scenario>) {
  this.server?.closeAllConnections();
  this.server?.close();
});

Given(
  'an agent at {string} holds chunk {int} of the jobs',
  function (this: Scenario, address: string, index: number) {
    const { jobs, chunks } = this.bench;
    const accept = jobs.accept.bind(jobs);
    jobs.accept = async (...submission) => {
      const accepted = await accept(...submission);
      const { job } = unwrap(accepted);
      unwrap(await chunks.claim({ job, index }, { incarnation: 'agent', address }));
      return accepted;
    };
  },
);

Given(
  /^the platform (is down|loses answers and reads fail)$/,
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
  '{string} submits {int} items of which item {int} is impossible',
  async function (this: Scenario, account: string, count: number, failing: number) {
    const lines = allItems
      .slice(0, count)
      .map((id, index) => inputLine(id, index === failing ? 'impossible' : 'answer'));
    this.batch = await submit(clientOf(this, account), lines);
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

When('{string} submits the lines', async function (this: Scenario, account, table: DataTable) {
  const call = submit(clientOf(this, String(account)), table.raw().flat());
  this.error = await failureOf(call);
});

When('{string} uploads {int} files', async function (this: Scenario, account: string, count) {
  for (let index = 0; index < Number(count); index += 1) {
    await upload(clientOf(this, account), `file ${index}`.repeat(300_000));
    await this.bench.time.advance(1000);
  }
});

When('the client deletes the newest file', async function (this: Scenario) {
  const [newest] = (await this.client.files.list({ limit: 1 })).data;
  assert.ok(newest);
  assert.equal((await this.client.files.delete(newest.id)).deleted, true);
});

When('the results of chunk {int} are unreadable', function (this: Scenario, index: number) {
  const { contents } = this.bench.objects;
  const names = [...contents.keys()].filter((name) => name.includes(`/00000${index}/`));
  assert.equal(names.length, 1);
  names.forEach((name) => contents.delete(name));
});

Then(
  'the batch is {string} with {int} of {int} items completed',
  async function (this: Scenario, status: string, completed: number, total: number) {
    this.batch = await this.client.batches.retrieve(this.batch.id);
    assert.equal(this.batch.status, status);
    assert.equal(this.batch.request_counts?.completed, completed);
    assert.equal(this.batch.request_counts.total, total);
    const [listed] = (await this.client.batches.list()).data;
    assert.deepEqual(listed, this.batch);
  },
);

Then(
  'the output file holds all items but {int}, the error file item {int}',
  async function (this: Scenario, failing: number, failed: number) {
    const ids = await idsIn(this.client, this.batch.output_file_id);
    assert.deepEqual(
      ids,
      allItems.filter((_, index) => index !== failing),
    );
    assert.deepEqual(await idsIn(this.client, this.batch.error_file_id), [`item-${failed}`]);
  },
);

Then('the result files are listed with their size', async function (this: Scenario) {
  for (const id of [this.batch.output_file_id, this.batch.error_file_id]) {
    const { bytes } = await this.client.files.retrieve(id ?? '');
    const content = await (await this.client.files.content(id ?? '')).arrayBuffer();
    assert.equal(content.byteLength, bytes);
  }
});

Then(
  'the agent at {string} was told of the cancel once',
  function (this: Scenario, address: string) {
    const { id } = this.batch;
    assert.deepEqual(this.notices, [{ notice: { job: id }, addresses: [address] }]);
  },
);

Then('{string} finds neither batch nor files', async function (this: Scenario, account: string) {
  const other = clientOf(this, account);
  const { id, input_file_id: input } = this.batch;
  const { output_file_id: output = '' } = await this.client.batches.retrieve(id);
  const calls = [
    other.batches.retrieve(id),
    other.batches.cancel(id),
    ...[input, output].flatMap((file) => [
      other.files.retrieve(file),
      other.files.content(file),
      other.files.delete(file),
    ]),
    other.batches.create({
      input_file_id: input,
      endpoint: '/v1/chat/completions',
      completion_window: '24h',
    }),
  ];
  for (const call of calls) assert.equal((await failureOf(call)).code, 'not-found');
});

Then('{string} lists nothing', async function (this: Scenario, account: string) {
  const other = clientOf(this, account);
  assert.deepEqual((await other.batches.list()).data, []);
  assert.deepEqual((await other.files.list()).data, []);
});

Then(
  'the client gets the error {int} {string} for the lines {string}',
  function (this: Scenario, status: number, code: string, lines: string) {
    assert.ok(this.error instanceof APIError);
    assert.deepEqual([this.error.status, this.error.code], [status, code]);
    const { facts } = this.error.error as { facts: { lines: { line: number }[] } };
    assert.equal(facts.lines.map(({ line }) => line).join(', '), lines);
  },
);

Then(
  'a batch of the file {string} at {string} gets the error {int} {string}',
  async function (this: Scenario, file: string, endpoint: string, status: number, code: string) {
    const call = this.client.batches.create({
      input_file_id: file,
      endpoint: endpoint as '/v1/chat/completions',
      completion_window: '24h',
    });
    const failure = await failureOf(call);
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
    const failure = await failureOf(upload(this.client, 'text'));
    assert.deepEqual([failure.status, failure.code], [503, 'platform-unavailable']);
    assert.equal((failure.error as { run: string }).run, run);
  },
);

Then('the download of the output file fails', async function (this: Scenario) {
  const { output_file_id: id = '' } = await this.client.batches.retrieve(this.batch.id);
  await assert.rejects(async () => (await this.client.files.content(id)).text());
});

Then(
  'an upload that announces {int} bytes gets status {int}',
  async function (this: Scenario, bytes: number, status: number) {
    const { port } = this.server.address() as AddressInfo;
    const answered = await new Promise<number | undefined>((resolve, reject) => {
      const sent = request({
        port,
        host: '127.0.0.1',
        method: 'POST',
        path: '/v1/files',
        headers: { authorization: `Bearer ${secretOf('harbor')}`, 'content-length': bytes },
      });
      sent.on('response', ({ statusCode }) => resolve(statusCode)).on('error', reject);
      sent.flushHeaders();
    });
    assert.equal(answered, status);
  },
);
