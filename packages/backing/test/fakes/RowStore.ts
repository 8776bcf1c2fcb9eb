/** In-memory table with conditions and transactions; fake tables add their faults. */
import assert from 'node:assert/strict';
import { err, ok, type Result } from 'neverthrow';
import type { Condition, Row, RowKey, RowQuery, TableFailure, Write } from '../../src/Table.js';

/** Maximum number of writes in a transaction of the table service. */
const MAX_WRITES = 100;

/** Maximum length of a token of the table service. Unit: characters. */
const MAX_TOKEN_LENGTH = 36;

type ConditionOf<Kind> = Extract<Condition, { kind: Kind }>;

const checks: {
  readonly [Kind in Condition['kind']]: (
    row: Row | undefined,
    condition: ConditionOf<Kind>,
  ) => boolean;
} = {
  absent: (row) => row === undefined,
  present: (row) => row !== undefined,
  equals: (row, { attribute, value }) => row?.attributes[attribute] === value,
  less: (row, { attribute, value }) => {
    const held = row?.attributes[attribute];
    return typeof held === 'number' && held < value;
  },
  missing: (row, { attribute }) => row?.attributes[attribute] === undefined,
};

const holds = (row: Row | undefined, condition: Condition): boolean => {
  // Each check accepts only its own condition; the compiler cannot relate the two through the look-up by kind.
  const check = checks[condition.kind] as (held: Row | undefined, each: Condition) => boolean;
  return check(row, condition);
};

const serializeKey = ({ pk, sk }: RowKey): string => JSON.stringify([pk, sk]);

/** In-memory rows of a table. */
export class RowStore {
  readonly rows = new Map<string, Row>();

  /** Transactions that took effect, by token. */
  private readonly appliedTransactions = new Map<string, string>();

  get(key: RowKey): Row | undefined {
    return structuredClone(this.rows.get(serializeKey(key)));
  }

  query({ pk, prefix = '', limit, descending }: RowQuery): Row[] {
    const found = [...this.rows.values()]
      .filter((row) => row.pk === pk && row.sk.startsWith(prefix))
      .sort((left, right) => (left.sk < right.sk ? -1 : 1));
    if (descending) found.reverse();
    return structuredClone(found.slice(0, limit));
  }

  /**
   * Applies a transaction. As in the table service, a retry with the token of a transaction that took
   * effect changes nothing, and the conditions of a failed transaction are checked again.
   */
  transact(writes: readonly Write[], token: string): Result<void, TableFailure> {
    assert.ok(writes.length <= MAX_WRITES && token.length <= MAX_TOKEN_LENGTH);
    const text = JSON.stringify(writes);
    const appliedText = this.appliedTransactions.get(token);
    assert.ok(
      appliedText === undefined || appliedText === text,
      'token used for another transaction',
    );
    if (appliedText !== undefined) return ok(undefined);
    const result = this.apply(writes);
    if (result.isOk()) this.appliedTransactions.set(token, text);
    return result;
  }

  private apply(writes: readonly Write[]): Result<void, TableFailure> {
    const names = writes.map(({ key }) => serializeKey(key));
    assert.equal(new Set(names).size, names.length, 'two writes on one row');
    const failed = writes.flatMap(({ key, conditions = [] }, index) => {
      const row = this.rows.get(serializeKey(key));
      return conditions.every((condition) => holds(row, condition)) ? [] : [index];
    });
    if (failed.length > 0) return err({ kind: 'conflict', failed });
    writes.forEach((write) => this.write(write));
    return ok(undefined);
  }

  private write(write: Write): void {
    const name = serializeKey(write.key);
    if (write.kind === 'delete') this.rows.delete(name);
    if (write.kind === 'put') {
      this.rows.set(name, structuredClone({ ...write.key, attributes: write.attributes }));
    }
    if (write.kind === 'update') {
      const attributes = { ...this.rows.get(name)?.attributes, ...write.set };
      this.rows.set(name, structuredClone({ ...write.key, attributes }));
    }
  }
}
