/** The table service by the DynamoDB JSON protocol. */
import {
  DynamoDBClient,
  GetItemCommand,
  QueryCommand,
  TransactWriteItemsCommand,
  type QueryCommandOutput,
} from '@aws-sdk/client-dynamodb';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { PlatformSettings } from '@jacinthlug/settings/process/hostSettings';
import { NodeHttpHandler } from '@smithy/node-http-handler';
import { setTimeout as sleep } from 'node:timers/promises';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import { fromItem, type Item } from './attributeValues.js';
import { classifyTableFault, type ClassifiedFailure } from './classifyTableFault.js';
import type { Row, RowKey, RowQuery, Table, TableFailure, Write } from './Table.js';
import { toKey, toTransactItem } from './transactItems.js';

/** Pauses between attempts of {@link DynamoTable.transactWithRetry} double from the first to the longest. */
const INITIAL_RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 1000;

/** No repeat starts with less time left: cut off by the deadline, its outcome would be unknown. */
const MIN_ATTEMPT_MS = 50;

type Operation = 'table.get' | 'table.query' | 'table.transact';

const toRow = ({ pk, sk, ...attributes }: Item): Row => ({
  pk: pk?.S ?? '',
  sk: sk?.S ?? '',
  attributes: fromItem(attributes),
});

/** Pause before the next attempt, with jitter so that callers do not repeat in step. Unit: ms. */
const retryDelay = (attempt: number): number => {
  const longest = Math.min(INITIAL_RETRY_DELAY_MS * 2 ** attempt, MAX_RETRY_DELAY_MS);
  return longest * (0.5 + Math.random() / 2);
};

const keyCondition = ({ pk, prefix }: RowQuery) =>
  prefix === undefined
    ? {
        KeyConditionExpression: '#pk = :pk',
        ExpressionAttributeNames: { '#pk': 'pk' },
        ExpressionAttributeValues: { ':pk': { S: pk } },
      }
    : {
        KeyConditionExpression: '#pk = :pk AND begins_with(#sk, :prefix)',
        ExpressionAttributeNames: { '#pk': 'pk', '#sk': 'sk' },
        ExpressionAttributeValues: { ':pk': { S: pk }, ':prefix': { S: prefix } },
      };

/** The table service by the DynamoDB JSON protocol. */
export class DynamoTable implements Table {
  private readonly client: DynamoDBClient;

  private readonly name: string;

  private readonly callLimitMs: number;

  /**
   * @param settings - where the service is and how to sign in
   * @param metrics - counts each call with its outcome
   */
  constructor(
    settings: PlatformSettings,
    private readonly metrics: Metrics,
  ) {
    const { accessKeyId, secretAccessKey, callLimitMs, region, table } = settings;
    this.name = table.name;
    this.callLimitMs = callLimitMs;
    this.client = new DynamoDBClient({
      endpoint: table.url,
      region,
      credentials: { accessKeyId, secretAccessKey },
      // A repeat by the SDK would hide an outcome that its caller has to know.
      maxAttempts: 1,
      requestHandler: new NodeHttpHandler({ connectionTimeout: callLimitMs / 2 }),
    });
  }

  get(key: RowKey): ResultAsync<Row | undefined, TableFailure> {
    const command = new GetItemCommand({
      TableName: this.name,
      Key: toKey(key),
      ConsistentRead: true,
    });
    const call = this.call('table.get', (abortSignal) =>
      this.client.send(command, { abortSignal }),
    );
    return new ResultAsync(call)
      .map(({ Item: item }) => (item ? toRow(item) : undefined))
      .mapErr(({ failure }) => failure);
  }

  query(query: RowQuery): ResultAsync<Row[], TableFailure> {
    return new ResultAsync(this.readPages(query)).mapErr(({ failure }) => failure);
  }

  transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    const limit = performance.now() + this.callLimitMs;
    return new ResultAsync(this.attempt(writes, token, limit)).mapErr(({ failure }) => failure);
  }

  transactWithRetry(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): ResultAsync<void, TableFailure> {
    return new ResultAsync(this.retryUntilKnown(writes, token, deadline));
  }

  close(): void {
    this.client.destroy();
  }

  /**
   * Repeats a transaction until its outcome is certain. A call that certainly wrote nothing is
   * repeated only when the service was busy, or when an earlier attempt may still have taken effect.
   */
  private async retryUntilKnown(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): Promise<Result<void, TableFailure>> {
    let unsettled: TableFailure | undefined;
    for (let attempt = 0; ; attempt += 1) {
      const result = await this.attempt(writes, token, deadline);
      if (result.isOk()) return ok();
      const { failure, isTransient } = result.error;
      if (failure.kind === 'conflict') return err(failure);
      if (failure.kind === 'unknown') unsettled = failure;
      if (!unsettled && !isTransient) return err(failure);
      const pauseMs = retryDelay(attempt);
      const nextEnd = performance.now() + pauseMs + MIN_ATTEMPT_MS;
      if (nextEnd >= deadline) return err(unsettled ?? failure);
      await sleep(pauseMs);
    }
  }

  private async attempt(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): Promise<Result<void, ClassifiedFailure>> {
    const command = new TransactWriteItemsCommand({
      TransactItems: writes.map((write) => toTransactItem(write, this.name)),
      ClientRequestToken: token,
    });
    const limitMs = Math.min(this.callLimitMs, deadline - performance.now());
    if (limitMs <= 0) {
      const failure = { kind: 'unavailable', message: 'the deadline has passed' } as const;
      return err({ failure, isTransient: false });
    }
    const result = await this.call(
      'table.transact',
      (abortSignal) => this.client.send(command, { abortSignal }),
      limitMs,
    );
    return result.map(() => undefined);
  }

  private async readPages(query: RowQuery): Promise<Result<Row[], ClassifiedFailure>> {
    const rows: Row[] = [];
    let start: Item | undefined;
    do {
      const page = await this.readPage(query, rows.length, start);
      if (page.isErr()) return err(page.error);
      rows.push(...(page.value.Items ?? []).map(toRow));
      start = page.value.LastEvaluatedKey;
    } while (start && rows.length < (query.limit ?? Infinity));
    return ok(rows);
  }

  private readPage(
    query: RowQuery,
    rowsBefore: number,
    start: Item | undefined,
  ): Promise<Result<QueryCommandOutput, ClassifiedFailure>> {
    const command = new QueryCommand({
      TableName: this.name,
      ConsistentRead: true,
      ScanIndexForward: !query.descending,
      ...keyCondition(query),
      ...(query.limit === undefined ? {} : { Limit: query.limit - rowsBefore }),
      ...(start ? { ExclusiveStartKey: start } : {}),
    });
    return this.call('table.query', (abortSignal) => this.client.send(command, { abortSignal }));
  }

  /** Makes one call within its time limit and counts it with its outcome. */
  private async call<Output>(
    operation: Operation,
    send: (signal: AbortSignal) => Promise<Output>,
    limitMs = this.callLimitMs,
  ): Promise<Result<Output, ClassifiedFailure>> {
    const result = await ResultAsync.fromPromise(
      send(AbortSignal.timeout(Math.ceil(limitMs))),
      classifyTableFault,
    );
    const outcome = result.isOk() ? 'ok' : result.error.failure.kind;
    this.metrics.count('platform.calls', { operation, outcome });
    return result;
  }
}
