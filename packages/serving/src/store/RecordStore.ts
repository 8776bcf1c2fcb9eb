/** Interface of a row store with revisions, conditional transactions and long polling for changes. */
import type { ResultAsync } from 'neverthrow';

/** Key of a record. */
export interface RecordKey {
  readonly table: string;
  /** All records of a transaction are in the same partition. */
  readonly partition: string;
  readonly key: string;
}

/** A record in the store. */
export interface StoredRecord extends RecordKey {
  readonly value: Buffer;
  /** Revision of the transaction that wrote the record. Revisions increase over the whole store. */
  readonly revision: number;
}

/** A change of a table. */
export type RecordChange =
  | { readonly kind: 'written'; readonly record: StoredRecord }
  | { readonly kind: 'removed'; readonly key: RecordKey; readonly revision: number };

/** Reason for a failed call to the store. */
export type StoreFailure =
  /** A condition was not met, and nothing was written. Contains the current records that the conditions refer to. */
  | { readonly kind: 'conflict'; readonly records: readonly StoredRecord[] }
  /** The store rejected the request or could not be reached, and nothing was written. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** No response. Writes may have taken effect, or may still do so if their conditions are met. */
  | { readonly kind: 'unknown'; readonly message: string }
  /** The store no longer retains the requested changes. */
  | { readonly kind: 'history-lost' };

/** Records of a range. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Revision of the store up to which all changes of the range are included, and maybe some later ones. */
  readonly revision: number;
}

/** Range of keys in a partition. */
export interface RecordRange {
  readonly table: string;
  readonly partition: string;
  /** First key of the range, inclusive. */
  readonly from?: string;
  /** End of the range, exclusive. */
  readonly to?: string;
}

/** Changes of a table since a revision. */
export interface ChangePage {
  readonly changes: readonly RecordChange[];
  /** Revision from which to continue. */
  readonly revision: number;
}

/** Atomic change of records in one partition. */
export interface Transaction {
  /** Records with their required revisions; 0 requires that the record does not exist. */
  readonly conditions: readonly (RecordKey & { readonly revision: number })[];
  readonly writes: readonly (RecordKey & { readonly value: Buffer })[];
  readonly removals?: readonly RecordKey[];
}

/** A row store. */
export interface RecordStore {
  /**
   * Returns the time of the store's clock, which no host can step.
   *
   * @returns time; undefined before the first response of the store. Unit: ms
   */
  now(): number | undefined;

  /**
   * Reads all pages of a range in one partition.
   *
   * @param range - table, partition and keys
   * @param signal - ends the call when it is aborted, in place of the timeout of a call, after which the call is sent again
   * @returns records in key order
   */
  read(range: RecordRange, signal?: AbortSignal): ResultAsync<RecordPage, StoreFailure>;

  /**
   * Reads a complete table.
   *
   * @param table - name of the table
   * @returns records, and a revision from which to follow the table without missing a change
   */
  readTable(table: string): ResultAsync<RecordPage, StoreFailure>;

  /**
   * Waits for changes of a table by long polling.
   *
   * @param table - name of the table
   * @param after - returns only changes after this revision
   * @param holdMs - timeout of the long poll: how long the store may wait for a change. Unit: ms
   * @returns changes; empty after the timeout
   */
  follow(table: string, after: number, holdMs: number): ResultAsync<ChangePage, StoreFailure>;

  /**
   * Applies a transaction.
   *
   * @param transaction - conditions and writes, at most 100 together
   * @param signal - ends the call when it is aborted, in place of the timeout of a call; the outcome is unknown then
   * @returns revision of the written records
   */
  commit(transaction: Transaction, signal?: AbortSignal): ResultAsync<number, StoreFailure>;
}
