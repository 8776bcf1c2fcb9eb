import assert from 'node:assert/strict';
import { randomUUID } from 'node:crypto';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { startTableStandin } from '@jacinthlug/standins/table/startTableStandin';
import { err, type Result, type ResultAsync } from 'neverthrow';
import { request } from 'undici';
import { DynamoTable } from '../../src/DynamoTable.js';
import type {
  Attributes,
  Condition,
  RowKey,
  RowQuery,
  TableFailure,
  Write,
} from '../../src/Table.js';
import { useStandin, expectValue, freeAddress, type World } from './world.js';

interface Scenario extends World {
  table: DynamoTable;
  token: string;
  writes: Write[];
  result: Result<void, TableFailure>;
  pendingResult: ResultAsync<void, TableFailure>;
}

/** Rows on a page: small, so that a query of a few rows has several pages. */
const PAGE_ROWS = 2;

const RETRY_TIMEOUT_MS = 20_000;

const parseKey = (text: string): RowKey => {
  const [pk = '', sk = ''] = text.split('/');
  return { pk, sk };
};

/** Parses attributes from JSON; the attribute `binary` is in base64. */
const parseAttributes = (json: string): Attributes => {
  const attributes = JSON.parse(json) as Record<string, string>;
  const { binary } = attributes;
  return binary === undefined
    ? attributes
    : { ...attributes, binary: new Uint8Array(Buffer.from(binary, 'base64')) };
};

const parseWrites = (table: DataTable): Write[] =>
  table.raw().map(([kind = '', key = '', attributes = '', conditions = '']) => ({
    kind: kind as 'put',
    key: parseKey(key),
    // `kind` decides which of `attributes` and `set` is used.
    attributes: parseAttributes(attributes),
    set: parseAttributes(attributes),
    conditions: JSON.parse(conditions || '[]') as Condition[],
  }));

const transactWithRetry = (
  { table, writes, token }: Scenario,
  timeoutMs = RETRY_TIMEOUT_MS,
): ResultAsync<void, TableFailure> =>
  table.transactWithRetry(writes, token, performance.now() + timeoutMs);

Given('a table service', async function (this: Scenario) {
  const standin = await startTableStandin({ ...freeAddress, pageRows: PAGE_ROWS });
  this.table = new DynamoTable(useStandin(this, standin), this.metrics);
  this.closers.push(() => this.table.close());
});

Given('the table service is stopped', async function (this: Scenario) {
  await this.standin.close();
});

Given(/^the row "(.*)" with (.*)$/, async function (this: Scenario, key: string, json: string) {
  const put = { kind: 'put', key: parseKey(key), attributes: parseAttributes(json) } as const;
  expectValue(await this.table.transact([put], randomUUID()));
});

Given(
  'the partition {string} has the rows {string}',
  async function (this: Scenario, pk, list: string) {
    const puts = list
      .split(',')
      .map((sk) => ({ kind: 'put' as const, key: { pk: String(pk), sk }, attributes: {} }));
    expectValue(await this.table.transact(puts, randomUUID()));
  },
);

When('a transaction is sent', async function (this: Scenario, table: DataTable) {
  this.writes = parseWrites(table);
  this.token = randomUUID();
  this.result = await this.table.transact(this.writes, this.token);
});

When(
  'a transaction with the same token is sent',
  async function (this: Scenario, table: DataTable) {
    this.result = await this.table.transact(parseWrites(table), this.token);
  },
);

When('a transaction is sent with retries', async function (this: Scenario, table: DataTable) {
  this.writes = parseWrites(table);
  this.token = randomUUID();
  this.result = await transactWithRetry(this);
});

When(
  'a transaction is sent with retries for at most {int} ms',
  async function (this: Scenario, timeoutMs: number, table: DataTable) {
    this.writes = parseWrites(table);
    this.token = randomUUID();
    this.result = await transactWithRetry(this, timeoutMs);
  },
);

When('a transaction with retries is started', function (this: Scenario, table: DataTable) {
  this.writes = parseWrites(table);
  this.token = randomUUID();
  this.pendingResult = transactWithRetry(this);
});

When('the same transaction is sent with retries', async function (this: Scenario) {
  this.result = await transactWithRetry(this);
});

const expectOutcome = (result: Result<void, TableFailure>, outcome: string): void => {
  const kind = result.match(
    () => 'ok',
    (failure) => failure.kind,
  );
  assert.equal(kind, outcome);
};

Then('it ends with {string}', function (this: Scenario, outcome: string) {
  expectOutcome(this.result, outcome);
});

Then(
  'the started transaction ends with {string}',
  async function (this: Scenario, outcome: string) {
    expectOutcome(await this.pendingResult, outcome);
  },
);

Then(
  'it ends with {string} on write {int}',
  function (this: Scenario, kind: string, index: number) {
    assert.deepEqual(this.result, err({ kind, failed: [index] }));
  },
);

Then('the row {string} is absent', async function (this: Scenario, key: string) {
  assert.equal(expectValue(await this.table.get(parseKey(key))), undefined);
});

Then(/^the row "(.*)" has (.*)$/, async function (this: Scenario, key: string, json: string) {
  const row = expectValue(await this.table.get(parseKey(key)));
  assert.deepEqual(row, { ...parseKey(key), attributes: parseAttributes(json) });
});

Then(/^the query (.*) gives "(.*)"$/, async function (this: Scenario, query: string, list: string) {
  const rows = expectValue(await this.table.query(JSON.parse(query) as RowQuery));
  assert.equal(rows.map(({ sk }) => sk).join(), list);
});

Then('the table service counted {int} writes', async function (this: Scenario, writes: number) {
  const { body } = await request(`${this.standin.url}/_standin/stats`);
  assert.deepEqual(await body.json(), { reads: 0, writes });
});
