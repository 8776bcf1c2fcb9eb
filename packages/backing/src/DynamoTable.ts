/** Table service client for the DynamoDB JSON protocol. */
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

/** The retry delay of {@link DynamoTable.transactWithRetry} doubles from the initial to the maximum delay. */
const INITIAL_RETRY_DELAY_MS = 25;
const MAX_RETRY_DELAY_MS = 1000;

/** Minimum time for a retry before the deadline, because an attempt that the deadline aborts has an unknown outcome. */
const MIN_ATTEMPT_MS = 50;

type Operation = 'table.get' | 'table.query' | 'table.transact';

const toRow = ({ pk, sk, ...attributes }: Item): Row => ({
  pk: pk?.S ?? '',
  sk: sk?.S ?? '',
  attributes: fromItem(attributes),
});

/** Returns the delay before the next attempt, with jitter so that callers do not retry in step. Unit: ms. */
const retryDelay = (attempt: number): number => {
  const maxDelayMs = Math.min(INITIAL_RETRY_DELAY_MS * 2 ** attempt, MAX_RETRY_DELAY_MS);
  return maxDelayMs * (0.5 + Math.random() / 2);
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

/** {@link Table} that uses the DynamoDB JSON protocol. */
export class DynamoTable implements Table {
  private readonly client: DynamoDBClient;

  private readonly name: string;

  private readonly callLimitMs: number;

  /**
   * @param settings - endpoint and credentials of the service
   * @param metrics - counts each call by its outcome
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
      // A retry by the SDK would hide the outcome of the first attempt, which the caller has to know.
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
    const deadline = performance.now() + this.callLimitMs;
    return new ResultAsync(this.attempt(writes, token, deadline)).mapErr(({ failure }) => failure);
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
   * Retries a transaction until its outcome is known or the deadline is too near for another attempt. An
   * attempt that certainly wrote nothing is retried only when the service was busy, or when an earlier
   * attempt may still take effect.
   */
  private async retryUntilKnown(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): Promise<Result<void, TableFailure>> {
    let unknownOutcome: TableFailure | undefined;
    for (let attempt = 0; ; attempt += 1) {
      const result = await this.attempt(writes, token, deadline);
      if (result.isOk()) return ok();
      const { failure, isTransient } = result.error;
      if (failure.kind === 'conflict') return err(failure);
      if (failure.kind === 'unknown') unknownOutcome = failure;
      if (!unknownOutcome && !isTransient) return err(failure);
      const delayMs = retryDelay(attempt);
      const earliestEnd = performance.now() + delayMs + MIN_ATTEMPT_MS;
      if (earliestEnd >= deadline) return err(unknownOutcome ?? failure);
      await sleep(delayMs);
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
    const timeoutMs = Math.min(this.callLimitMs, deadline - performance.now());
    if (timeoutMs <= 0) {
      const failure = { kind: 'unavailable', message: 'the deadline has passed' } as const;
      return err({ failure, isTransient: false });
    }
    const result = await this.call(
      'table.transact',
      (abortSignal) => this.client.send(command, { abortSignal }),
      timeoutMs,
    );
    return result.map(() => undefined);
  }

  private async readPages(query: RowQuery): Promise<Result<Row[], ClassifiedFailure>> {
    const rows: Row[] = [];
    let startKey: Item | undefined;
    do {
      const page = await this.readPage(query, rows.length, startKey);
      if (page.isErr()) return err(page.error);
      rows.push(...(page.value.Items ?? []).map(toRow));
      startKey = page.value.LastEvaluatedKey;
    } while (startKey && rows.length < (query.limit ?? Infinity));
    return ok(rows);
  }

  private readPage(
    query: RowQuery,
    rowsRead: number,
    startKey: Item | undefined,
  ): Promise<Result<QueryCommandOutput, ClassifiedFailure>> {
    const command = new QueryCommand({
      TableName: this.name,
      ConsistentRead: true,
      ScanIndexForward: !query.descending,
      ...keyCondition(query),
      ...(query.limit === undefined ? {} : { Limit: query.limit - rowsRead }),
      ...(startKey ? { ExclusiveStartKey: startKey } : {}),
    });
    return this.call('table.query', (abortSignal) => this.client.send(command, { abortSignal }));
  }

  /** Makes one call with a timeout and counts it by its outcome. */
  private async call<Output>(
    operation: Operation,
    send: (signal: AbortSignal) => Promise<Output>,
    timeoutMs = this.callLimitMs,
  ): Promise<Result<Output, ClassifiedFailure>> {
    const result = await ResultAsync.fromPromise(
      send(AbortSignal.timeout(Math.ceil(timeoutMs))),
      classifyTableFault,
    );
    const outcome = result.isOk() ? 'ok' : result.error.failure.kind;
    this.metrics.count('platform.calls', { operation, outcome });
    return result;
  }
}
