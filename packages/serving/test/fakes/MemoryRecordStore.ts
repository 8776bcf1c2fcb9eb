/** An in-memory row store that can simulate faults of the platform's store. */
import type {
  ChangePage,
  RecordChange,
  RecordKey,
  RecordPage,
  RecordRange,
  RecordStore,
  StoreFailure,
  StoredRecord,
  Transaction,
} from '@jacinthlug/serving/store/RecordStore';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { errAsync, okAsync, ResultAsync } from 'neverthrow';

const rowKey = ({ table, partition, key }: RecordKey): string => `${table}|${partition}|${key}`;

/** Maximum size of a key. Unit: bytes. */
export const MAX_KEY_BYTES = 200;

/** A simulated fault of a commit. */
export type CommitFault =
  /** The commit is applied, but its response is lost. */
  | 'lost-answer'
  /** There is no response, and the commit is applied by {@link MemoryRecordStore.applyDelayedCommits}. */
  | 'late'
  /** The commit is not applied. */
  | 'rejected'
  /** The commit is not applied, and its call does not end. */
  | 'silent';

export class MemoryRecordStore implements RecordStore {
  readonly rows = new Map<string, StoredRecord>();

  readonly changes: RecordChange[] = [];

  revision = 0;

  down = false;

  /** Faults of the next commits, one per commit. */
  readonly faults: CommitFault[] = [];

  commitCount = 0;

  private readonly delayedCommits: Transaction[] = [];

  private clock: Clock | undefined;

  /** Makes reads of changes wait for their hold time, by the given clock, if there is no change yet. */
  enableLongPolling(clock: Clock): void {
    this.clock = clock;
  }

  now(): number {
    return this.clock?.now() ?? 0;
  }

  read({ table, partition, from = '', to }: RecordRange): ResultAsync<RecordPage, StoreFailure> {
    if (this.down) return errAsync({ kind: 'unavailable', message: 'down' });
    if ([from, to ?? ''].some((key) => Buffer.byteLength(key) > MAX_KEY_BYTES))
      return errAsync({ kind: 'unavailable', message: 'key is too long' });
    const records = [...this.rows.values()]
      .filter((row) => row.table === table && row.partition === partition)
      .filter(({ key }) => key >= from && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return okAsync({ records, revision: this.revision });
  }

  readTable(table: string): ResultAsync<RecordPage, StoreFailure> {
    if (this.down) return errAsync({ kind: 'unavailable', message: 'down' });
    const records = [...this.rows.values()].filter((row) => row.table === table);
    return okAsync({ records, revision: this.revision });
  }

  follow(table: string, after: number, holdMs = 0): ResultAsync<ChangePage, StoreFailure> {
    if (this.down) return errAsync({ kind: 'unavailable', message: 'down' });
    const findNewChanges = (): ChangePage => this.findChanges(table, after);
    if (!this.clock || findNewChanges().changes.length > 0) return okAsync(findNewChanges());
    return ResultAsync.fromSafePromise(this.clock.sleep(holdMs)).map(findNewChanges);
  }

  private findChanges(table: string, after: number): ChangePage {
    const changes = this.changes.filter((change) =>
      change.kind === 'written'
        ? change.record.table === table && change.record.revision > after
        : change.key.table === table && change.revision > after,
    );
    return { changes, revision: this.revision };
  }

  commit(transaction: Transaction): ResultAsync<number, StoreFailure> {
    this.commitCount += 1;
    const keys = [transaction.conditions, transaction.writes, transaction.removals ?? []].flat();
    if (keys.some(({ key }) => Buffer.byteLength(key) > MAX_KEY_BYTES))
      return errAsync({ kind: 'unavailable', message: 'key is too long' });
    if (this.down) return errAsync({ kind: 'unavailable', message: 'down' });
    const fault = this.faults.shift();
    if (fault === 'late') {
      this.delayedCommits.push(transaction);
      return errAsync({ kind: 'unknown', message: 'no response' });
    }
    if (fault === 'silent') return new ResultAsync(Promise.race([]));
    if (fault === 'rejected') return errAsync({ kind: 'unavailable', message: 'rejected' });
    const result = this.apply(transaction);
    if (fault === 'lost-answer') return errAsync({ kind: 'unknown', message: 'no response' });
    return typeof result === 'number' ? okAsync(result) : errAsync(result);
  }

  /** Applies the delayed commits whose conditions still hold. */
  applyDelayedCommits(): void {
    this.delayedCommits.splice(0).forEach((transaction) => this.apply(transaction));
  }

  /** Counts the rows of a table. */
  countRows(table: string): number {
    return [...this.rows.values()].filter((row) => row.table === table).length;
  }

  private apply({ conditions, writes, removals = [] }: Transaction): number | StoreFailure {
    const hasConflict = conditions.some(
      (condition) => (this.rows.get(rowKey(condition))?.revision ?? 0) !== condition.revision,
    );
    if (hasConflict) {
      const records = conditions.flatMap((condition) => this.rows.get(rowKey(condition)) ?? []);
      return { kind: 'conflict', records };
    }
    this.revision += 1;
    const { revision } = this;
    writes.forEach((write) => {
      const record = { ...write, revision };
      this.rows.set(rowKey(write), record);
      this.changes.push({ kind: 'written', record });
    });
    removals.forEach((key) => {
      this.rows.delete(rowKey(key));
      this.changes.push({ kind: 'removed', key, revision });
    });
    return revision;
  }
}
