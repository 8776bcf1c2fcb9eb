/** Fake table in memory with faults: lost responses, late writes and outages. */
import type { Row, RowKey, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { RowStore } from '@jacinthlug/backing/testing/RowStore';
import { errAsync, okAsync, type Result, type ResultAsync } from 'neverthrow';

const unknown: TableFailure = { kind: 'unknown', message: 'no response' };

const unavailable: TableFailure = { kind: 'unavailable', message: 'down' };

/** Table in memory with faults. */
export class FakeTable {
  private readonly store = new RowStore();

  /** Whether every call fails as unavailable. */
  down = false;

  /** Number of next writes whose response is lost after the write took effect. */
  lostAnswers = 0;

  /** Number of next writes that are delayed until {@link applyLateWrites}; they fail as `unknown`. */
  lateWrites = 0;

  /** Called once, right before the next write takes effect. */
  onNextWrite: (() => void) | undefined;

  private readonly pendingWrites: (() => void)[] = [];

  get rows(): Map<string, Row> {
    return this.store.rows;
  }

  /** Returns the table for one host. While the link of that host is cut, its calls fail. */
  asTable(link: { isCut: boolean }): Table {
    const reach = <Value>(call: () => ResultAsync<Value, TableFailure>) =>
      link.isCut ? errAsync<Value, TableFailure>(unavailable) : call();
    return {
      get: (key) => reach(() => this.get(key)),
      // Claims do not use range queries.
      query: () => errAsync(unavailable),
      transact: (writes, token) => reach(() => this.transact(writes, token)),
      transactWithRetry: (writes, token, deadline) =>
        reach(() => this.transactWithRetry(writes, token, deadline)),
      close: () => undefined,
    };
  }

  /** Applies the delayed writes. */
  applyLateWrites(): void {
    this.pendingWrites.splice(0).forEach((apply) => apply());
  }

  private get(key: RowKey): ResultAsync<Row | undefined, TableFailure> {
    if (this.down) return errAsync(unavailable);
    return okAsync(this.store.get(key));
  }

  private transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    if (this.down) return errAsync(unavailable);
    if (this.lateWrites > 0) {
      this.lateWrites -= 1;
      this.pendingWrites.push(() => this.apply(writes, token));
      return errAsync(unknown);
    }
    const result = this.apply(writes, token);
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return errAsync(unknown);
    }
    return result.asyncAndThen(() => okAsync(undefined));
  }

  private transactWithRetry(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): ResultAsync<void, TableFailure> {
    return this.transact(writes, token).orElse((failure) =>
      failure.kind === 'unknown' && this.lostAnswers > 0 && performance.now() < deadline
        ? this.transactWithRetry(writes, token, deadline)
        : errAsync(failure),
    );
  }

  private apply(writes: readonly Write[], token: string): Result<void, TableFailure> {
    const { onNextWrite } = this;
    this.onNextWrite = undefined;
    onNextWrite?.();
    return this.store.transact(writes, token);
  }
}
