/** Table in memory that simulates the faults of the platform's table service. */
import type { Row, RowKey, RowQuery, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { RowStore } from '@jacinthlug/backing/testing/RowStore';
import { err, errAsync, okAsync, ResultAsync, type Result } from 'neverthrow';

export class MemoryTable implements Table {
  /** Whether every call fails as unavailable. */
  down = false;

  /** Decides whether the response of a transaction is lost after it took effect. */
  losesAnswer: ((writes: readonly Write[]) => boolean) | undefined;

  /** Whether `transactWithRetry` returns the outcome of its first attempt instead of retrying. */
  settleGivesUp = false;

  /** Called before a transaction takes effect. */
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
    const attempt = async (): Promise<Result<void, TableFailure>> => {
      const first = await this.write(writes, token);
      const isUnknown = first.isErr() && first.error.kind === 'unknown';
      return isUnknown && !this.settleGivesUp ? this.store.transact(writes, token) : first;
    };
    return new ResultAsync(attempt());
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
    return this.losesAnswer?.(writes) ? err({ kind: 'unknown', message: 'response lost' }) : result;
  }
}
