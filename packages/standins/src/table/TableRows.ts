/** Rows of the table stand-in, and the write operations on them. */
import type { AttributeValue, Item } from './attributeValues.js';
import { applyUpdate, evaluateCondition, type Placeholders } from './expressions.js';
import { invalid, ServiceError } from './ServiceError.js';

/** Input of PutItem, UpdateItem, DeleteItem and of each item of TransactWriteItems. */
export interface WriteInput extends Placeholders {
  readonly TableName: string;
  readonly Key?: Item;
  readonly Item?: Item;
  readonly UpdateExpression?: string;
  readonly ConditionExpression?: string;
}

/** Kinds of writes, as TransactWriteItems names them. */
export type WriteKind = 'Put' | 'Update' | 'Delete' | 'ConditionCheck';

/** A write: its kind and its input. */
export interface TableWrite {
  readonly kind: WriteKind;
  readonly input: WriteInput;
}

/** Result of a write: the new row at its key, or `undefined` if there is none. */
interface RowChange {
  readonly table: string;
  readonly pk: string;
  readonly sk: string;
  readonly item: Item | undefined;
}

/** Limits of DynamoDB. */
const MAX_ITEM_BYTES = 400 * 1024;
const MAX_TRANSACTION_WRITES = 100;
const MAX_TRANSACTION_BYTES = 4 * 1024 * 1024;
const MAX_CLIENT_TOKEN_LENGTH = 36;
const CLIENT_TOKEN_RETENTION_MS = 10 * 60 * 1000;

const getKeyAttribute = (key: Item | undefined, name: string): string => {
  const value = key?.[name]?.S;
  if (typeof value !== 'string' || value === '') throw invalid(`key attribute ${name} is missing`);
  return value;
};

const measureItem = (item: Item): number => JSON.stringify(item).length;

/** Computes the row that a write results in, by kind. */
const computeRow: Readonly<
  Record<WriteKind, (input: WriteInput, before: Item | undefined) => Item | undefined>
> = {
  Put: (input) => input.Item,
  Update: (input, before) =>
    applyUpdate(input.UpdateExpression ?? '', input, before ?? input.Key ?? {}),
  Delete: () => undefined,
  ConditionCheck: (_input, before) => before,
};

/** In-memory rows of all tables. */
export class TableRows {
  private readonly partitions = new Map<string, Map<string, Item>>();

  /** Committed transactions, by client token. */
  private readonly committedTransactions = new Map<string, { content: string; at: number }>();

  /** Number of requests in progress, by client token. */
  private readonly pendingRequests = new Map<string, number>();

  /**
   * Reads a row.
   *
   * @param table - name of the table
   * @param key - key attributes
   * @returns the row, or `undefined` if it does not exist
   */
  get(table: string, key: Item | undefined): Item | undefined {
    return this.getPartition(table, getKeyAttribute(key, 'pk')).get(getKeyAttribute(key, 'sk'));
  }

  /**
   * Lists the rows of a partition.
   *
   * @param table - name of the table
   * @param pk - partition key
   * @returns the rows, ordered by sort key
   */
  listPartition(table: string, pk: AttributeValue): Item[] {
    const rows = [...this.getPartition(table, getKeyAttribute({ pk }, 'pk'))];
    return rows
      .sort(([left], [right]) => Buffer.compare(Buffer.from(left), Buffer.from(right)))
      .map(([, item]) => item);
  }

  /**
   * Applies one write.
   *
   * @param write - the write
   * @throws ServiceError if the condition is not met
   */
  write(write: TableWrite): void {
    const change = this.evaluate(write);
    if (!change) {
      throw new ServiceError('ConditionalCheckFailedException', 'The conditional request failed');
    }
    this.apply(change);
  }

  /**
   * Records that a transaction request was received.
   *
   * @param token - client token of the transaction
   * @returns function to call when the request has ended
   */
  recordArrival(token: string): () => void {
    this.pendingRequests.set(token, (this.pendingRequests.get(token) ?? 0) + 1);
    return () => {
      const others = (this.pendingRequests.get(token) ?? 1) - 1;
      if (others > 0) this.pendingRequests.set(token, others);
      else this.pendingRequests.delete(token);
    };
  }

  /**
   * Applies all writes or none. Repeating a transaction that was committed with the same token has
   * no effect.
   *
   * @param writes - the writes
   * @param token - client token
   * @throws ServiceError if a condition is not met
   */
  transact(writes: readonly TableWrite[], token: string | undefined): void {
    if (token === undefined) {
      this.commit(writes);
      return;
    }
    if (token.length > MAX_CLIENT_TOKEN_LENGTH) throw invalid('ClientRequestToken is too long');
    this.dropExpiredTokens();
    const content = JSON.stringify(writes);
    const earlier = this.committedTransactions.get(token);
    if (earlier && earlier.content !== content) {
      throw new ServiceError(
        'IdempotentParameterMismatchException',
        'the client token was used for a different transaction',
      );
    }
    if (earlier) return;
    if ((this.pendingRequests.get(token) ?? 0) > 1) {
      throw new ServiceError(
        'TransactionInProgressException',
        'a transaction with this client token is in progress',
      );
    }
    this.commit(writes);
    this.committedTransactions.set(token, { content, at: performance.now() });
  }

  private commit(writes: readonly TableWrite[]): void {
    if (writes.length === 0 || writes.length > MAX_TRANSACTION_WRITES) {
      throw invalid(`a transaction must have 1 to ${MAX_TRANSACTION_WRITES} writes`);
    }
    if (JSON.stringify(writes).length > MAX_TRANSACTION_BYTES)
      throw invalid('the transaction is too large');
    const changes = writes.map((write) => this.evaluate(write));
    if (changes.includes(undefined)) {
      const reasons = changes.map((change) =>
        change
          ? { Code: 'None' }
          : { Code: 'ConditionalCheckFailed', Message: 'The conditional request failed' },
      );
      const codes = reasons.map(({ Code }) => Code).join(', ');
      throw new ServiceError(
        'TransactionCanceledException',
        `Transaction cancelled, please refer cancellation reasons for specific reasons [${codes}]`,
        { CancellationReasons: reasons },
      );
    }
    const rowChanges = changes.filter((change) => change !== undefined);
    const rowKeys = rowChanges.map(({ table, pk, sk }) => JSON.stringify([table, pk, sk]));
    if (new Set(rowKeys).size < rowKeys.length) throw invalid('two writes on the same row');
    rowChanges.forEach((change) => this.apply(change));
  }

  /** Computes the result of a write; returns `undefined` if its condition is not met. */
  private evaluate({ kind, input }: TableWrite): RowChange | undefined {
    const key = kind === 'Put' ? input.Item : input.Key;
    const before = this.get(input.TableName, key);
    if (!evaluateCondition(input.ConditionExpression, input, before)) return undefined;
    const item = computeRow[kind](input, before);
    if (item && measureItem(item) > MAX_ITEM_BYTES) throw invalid('the item is too large');
    return {
      table: input.TableName,
      pk: getKeyAttribute(key, 'pk'),
      sk: getKeyAttribute(key, 'sk'),
      item,
    };
  }

  private apply({ table, pk, sk, item }: RowChange): void {
    if (item) this.getPartition(table, pk).set(sk, item);
    else this.getPartition(table, pk).delete(sk);
  }

  private getPartition(table: string, pk: string): Map<string, Item> {
    const name = JSON.stringify([table, pk]);
    const partition = this.partitions.get(name) ?? new Map<string, Item>();
    this.partitions.set(name, partition);
    return partition;
  }

  private dropExpiredTokens(): void {
    const oldest = performance.now() - CLIENT_TOKEN_RETENTION_MS;
    // Entries are ordered by commit time, so no later entry has expired either.
    for (const [token, { at }] of this.committedTransactions) {
      if (at >= oldest) break;
      this.committedTransactions.delete(token);
    }
  }
}
