/** A table in memory, with the faults of the platform's table service. */
import assert from 'node:assert/strict';
import type {
  Attributes,
  Condition,
  Row,
  RowKey,
  RowQuery,
  Table,
  TableFailure,
  Write,
} from '@jacinthlug/platform/Table';
import { errAsync, okAsync, ResultAsync, err, ok, type Result } from 'neverthrow';

const MAX_WRITES = 100;
const MAX_TOKEN = 36;

const holds = (condition: Condition, attributes: Attributes | undefined): boolean => {
  if (condition.kind === 'absent') return attributes === undefined;
  if (attributes === undefined) return false;
  if (condition.kind === 'present') return true;
  const value = attributes[condition.attribute];
  if (condition.kind === 'missing') return value === undefined;
  if (condition.kind === 'equals') return value === condition.value;
  return typeof value === 'number' && value < condition.value;
};

export class MemoryTable implements Table {
  readonly rows = new Map<string, Row>();

  /** Refuses every call. */
  down = false;

  /** Tells whether the answer of a transaction is lost after it took effect. */
  losesAnswer: ((writes: readonly Write[]) => boolean) | undefined;

  /** Whether `settle` gives up after one call instead of repeating it. */
  settleGivesUp = false;

  /** Runs before a transaction takes effect. */
  beforeWrite: ((writes: readonly Write[]) => Promise<void>) | undefined;

  private readonly outcomes = new Map<
    string,
    { text: string; result: Result<void, TableFailure> }
  >();

  private readonly unavailable: TableFailure = { kind: 'unavailable', message: 'table is down' };

  get(key: RowKey): ResultAsync<Row | undefined, TableFailure> {
    if (this.down) return errAsync(this.unavailable);
    return okAsync(structuredClone(this.rows.get(JSON.stringify([key.pk, key.sk]))));
  }

  query({ pk, prefix = '', limit, descending }: RowQuery): ResultAsync<Row[], TableFailure> {
    if (this.down) return errAsync(this.unavailable);
    const found = [...this.rows.values()]
      .filter((row) => row.pk === pk && row.sk.startsWith(prefix))
      .sort((left, right) => (left.sk < right.sk ? -1 : 1));
    if (descending) found.reverse();
    return okAsync(structuredClone(found.slice(0, limit)));
  }

  transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    return new ResultAsync(this.write(writes, token));
  }

  settle(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    const repeat = async (): Promise<Result<void, TableFailure>> => {
      const first = await this.write(writes, token);
      if (first.isOk() || first.error.kind !== 'unknown' || this.settleGivesUp) return first;
      return this.outcomes.get(token)?.result ?? first;
    };
    return new ResultAsync(repeat());
  }

  close(): void {
    this.down = true;
  }

  private async write(
    writes: readonly Write[],
    token: string,
  ): Promise<Result<void, TableFailure>> {
    assert.ok(writes.length <= MAX_WRITES && token.length <= MAX_TOKEN);
    if (this.down) return err(this.unavailable);
    await this.beforeWrite?.(writes);
    const text = JSON.stringify(writes);
    const earlier = this.outcomes.get(token);
    assert.ok(!earlier || earlier.text === text, 'token used for another transaction');
    const result = earlier?.result ?? this.apply(writes);
    this.outcomes.set(token, { text, result });
    return this.losesAnswer?.(writes) ? err({ kind: 'unknown', message: 'answer lost' }) : result;
  }

  private apply(writes: readonly Write[]): Result<void, TableFailure> {
    const keys = writes.map(({ key }) => JSON.stringify([key.pk, key.sk]));
    assert.equal(new Set(keys).size, keys.length, 'two writes on one row');
    const failed = writes.flatMap(({ conditions = [] }, index) => {
      const attributes = this.rows.get(keys[index] ?? '')?.attributes;
      return conditions.every((condition) => holds(condition, attributes)) ? [] : [index];
    });
    if (failed.length > 0) return err({ kind: 'conflict', failed });
    writes.forEach((write, index) => {
      const name = keys[index] ?? '';
      if (write.kind === 'delete') this.rows.delete(name);
      if (write.kind === 'put') {
        this.rows.set(name, structuredClone({ ...write.key, attributes: write.attributes }));
      }
      if (write.kind === 'update') {
        const attributes = { ...this.rows.get(name)?.attributes, ...write.set };
        this.rows.set(name, structuredClone({ ...write.key, attributes }));
      }
    });
    return ok(undefined);
  }
}
