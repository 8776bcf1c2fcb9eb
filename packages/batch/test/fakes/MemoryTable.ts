/** A table in memory, with the faults of the platform's table service. */
import type { Row, RowKey, RowQuery, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { RowStore } from '@jacinthlug/backing/testing/RowStore';
import { err, errAsync, okAsync, ResultAsync, type Result } from 'neverthrow';

export class MemoryTable implements Table {
  /** Refuses every call. */
  down = false;

  /** Tells whether the answer of a transaction is lost after it took effect. */
  losesAnswer: ((writes: readonly Write[]) => boolean) | undefined;

  /** Whether `settle` gives up after one call instead of repeating it. */
  settleGivesUp = false;

  /** Runs before a transaction takes effect. */
  beforeWrite: ((writes: readonly Write[]) => Promise<void>) | undefined;

  private readonly store = new RowStore();

  private readonly unavailable: TableFailure = { kind: 'unavailable', message: 'table is down' };

  get rows(): Map<string, Row> {
    return this.store.rows;
  }

  get(key: RowKey): ResultAsync<Row | undefined, TableFailure> {
    return this.down ? errAsync(this.unavailable) : okAsync(this.store.get(key));
  }

  query(query: RowQuery): ResultAsync<Row[], TableFailure> {
    return this.down ? errAsync(this.unavailable) : okAsync(this.store.query(query));
  }

  transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    return new ResultAsync(this.write(writes, token));
  }

  transactWithRetry(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    const repeat = async (): Promise<Result<void, TableFailure>> => {
      const first = await this.write(writes, token);
      const isUnknown = first.isErr() && first.error.kind === 'unknown';
      return isUnknown && !this.settleGivesUp ? this.store.transact(writes, token) : first;
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
    if (this.down) return err(this.unavailable);
    await this.beforeWrite?.(writes);
    const result = this.store.transact(writes, token);
    return this.losesAnswer?.(writes) ? err({ kind: 'unknown', message: 'answer lost' }) : result;
  }
}
