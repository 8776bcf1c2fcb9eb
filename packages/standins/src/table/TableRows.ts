/** Rows of the table stand-in and the writes on them. */
import type { AttributeValue, Item } from './attributeValues.js';
import { applyUpdate, holds, type Placeholders } from './expressions.js';
import { invalid, ServiceError } from './ServiceError.js';

/** One write as PutItem, UpdateItem, DeleteItem and the members of TransactWriteItems have it. */
export interface WriteInput extends Placeholders {
  readonly TableName: string;
  readonly Key?: Item;
  readonly Item?: Item;
  readonly UpdateExpression?: string;
  readonly ConditionExpression?: string;
}

/** Kind of a write, as TransactWriteItems names it. */
export type WriteKind = 'Put' | 'Update' | 'Delete' | 'ConditionCheck';

/** A write with its kind. */
export interface TableWrite {
  readonly kind: WriteKind;
  readonly order: WriteInput;
}

/** What a write leaves at its key: the row, or nothing. */
interface RowChange {
  readonly table: string;
  readonly pk: string;
  readonly sk: string;
  readonly item: Item | undefined;
}

/** Limits of the service. */
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

/** Effect of a write on the row at its key, by kind. */
const computeRow: Readonly<
  Record<WriteKind, (order: WriteInput, before: Item | undefined) => Item | undefined>
> = {
  Put: (order) => order.Item,
  Update: (order, before) =>
    applyUpdate(order.UpdateExpression ?? '', order, before ?? order.Key ?? {}),
  Delete: () => undefined,
  ConditionCheck: (_order, before) => before,
};

/** Rows in memory. */
export class TableRows {
  private readonly partitions = new Map<string, Map<string, Item>>();

  /** Transactions that took effect, by client token, with their content. */
  private readonly committedTransactions = new Map<string, { content: string; at: number }>();

  /** How many requests with a client token have arrived and not been answered. */
  private readonly pendingRequests = new Map<string, number>();

  /**
   * Reads a row.
   *
   * @param table - name of the table
   * @param key - key attributes
   * @returns the row, or nothing
   */
  get(table: string, key: Item | undefined): Item | undefined {
    return this.getPartition(table, getKeyAttribute(key, 'pk')).get(getKeyAttribute(key, 'sk'));
  }

  /**
   * Reads a partition.
   *
   * @param table - name of the table
   * @param pk - partition key
   * @returns the rows in order of their sort key
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
   * @throws ServiceError when its condition does not hold
   */
  write(write: TableWrite): void {
    const effect = this.evaluate(write);
    if (!effect) {
      throw new ServiceError('ConditionalCheckFailedException', 'The conditional request failed');
    }
    this.apply(effect);
  }

  /**
   * Notes that a transaction has arrived.
   *
   * @param token - its client token
   * @returns called when the request was answered
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
   * Applies all writes or none. A repeat with the token of one that took effect does nothing.
   *
   * @param writes - the writes
   * @param token - client token
   * @throws ServiceError when a condition does not hold
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
      throw new ServiceError('IdempotentParameterMismatchException', 'Token used before');
    }
    if (earlier) return;
    if ((this.pendingRequests.get(token) ?? 0) > 1) {
      throw new ServiceError('TransactionInProgressException', 'Token in progress');
    }
    this.commit(writes);
    this.committedTransactions.set(token, { content, at: performance.now() });
  }

  private commit(writes: readonly TableWrite[]): void {
    if (writes.length === 0 || writes.length > MAX_TRANSACTION_WRITES) {
      throw invalid(`a transaction has 1 to ${MAX_TRANSACTION_WRITES} writes`);
    }
    if (JSON.stringify(writes).length > MAX_TRANSACTION_BYTES) throw invalid('too large');
    const outcomes = writes.map((write) => this.evaluate(write));
    if (outcomes.includes(undefined)) {
      const reasons = outcomes.map((outcome) =>
        outcome
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
    const applied = outcomes.filter((outcome) => outcome !== undefined);
    const rows = applied.map(({ table, pk, sk }) => JSON.stringify([table, pk, sk]));
    if (new Set(rows).size < rows.length) throw invalid('two writes on one row');
    applied.forEach((effect) => this.apply(effect));
  }

  /** Computes what a write leaves; nothing when its condition does not hold. */
  private evaluate({ kind, order }: TableWrite): RowChange | undefined {
    const key = kind === 'Put' ? order.Item : order.Key;
    const before = this.get(order.TableName, key);
    if (!holds(order.ConditionExpression, order, before)) return undefined;
    const item = computeRow[kind](order, before);
    if (item && measureItem(item) > MAX_ITEM_BYTES)
      throw invalid('Item size has exceeded the limit');
    return {
      table: order.TableName,
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
    // Entries are in order of time, so the first young one ends the search.
    for (const [token, { at }] of this.committedTransactions) {
      if (at >= oldest) break;
      this.committedTransactions.delete(token);
    }
  }
}
