/** The narrow interface to a row store with revisions, conditional transactions and held reads of changes. */
import type { ResultAsync } from 'neverthrow';

/** Key of a record. */
export interface RecordKey {
  readonly table: string;
  /** Records of one transaction share their partition. */
  readonly partition: string;
  readonly key: string;
}

/** A record as the store holds it. */
export interface StoredRecord extends RecordKey {
  readonly value: Buffer;
  /** Revision of the transaction that wrote the record; grows over the whole store. */
  readonly revision: number;
}

/** A change of a table. */
export type RecordChange =
  | { readonly kind: 'written'; readonly record: StoredRecord }
  | { readonly kind: 'removed'; readonly key: RecordKey; readonly revision: number };

/** Why a call to the store failed. */
export type StoreFailure =
  /** A condition did not hold; nothing was written. Carries the records that the conditions name. */
  | { readonly kind: 'conflict'; readonly records: readonly StoredRecord[] }
  /** The store refused, or could not be connected to; nothing was done. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** No answer: writes may have taken effect, or may still do so if their conditions hold. */
  | { readonly kind: 'unknown'; readonly message: string }
  /** The changes asked for are no longer kept. */
  | { readonly kind: 'history-lost' };

/** Records of a range as of one moment. */
export interface RecordPage {
  readonly records: readonly StoredRecord[];
  /** Revision of the store at that moment. */
  readonly revision: number;
}

/** Range of keys in a partition. */
export interface RecordRange {
  readonly table: string;
  readonly partition: string;
  /** First key of the range. */
  readonly from?: string;
  /** First key after the range. */
  readonly to?: string;
}

/** Changes of a table since a revision. */
export interface ChangePage {
  readonly changes: readonly RecordChange[];
  /** Revision from which to go on. */
  readonly revision: number;
}

/** One atomic change of records in one partition. */
export interface Transaction {
  /** Records with the revision that each must have; 0 stands for an absent record. */
  readonly conditions: readonly (RecordKey & { readonly revision: number })[];
  readonly writes: readonly (RecordKey & { readonly value: Buffer })[];
  readonly removals?: readonly RecordKey[];
}

/** The row store. */
export interface RecordStore {
  /**
   * Tells the time of the store's clock, which no host can step.
   *
   * @returns time; nothing before the first answer of the store. Unit: ms
   */
  now(): number | undefined;

  /**
   * Reads a range of one partition; pages are followed.
   *
   * @param range - table, partition and keys
   * @returns the records in order of their keys
   */
  read(range: RecordRange): ResultAsync<RecordPage, StoreFailure>;

  /**
   * Reads a table whole.
   *
   * @param table - name of the table
   * @returns the records, with a revision from which following it misses nothing
   */
  readTable(table: string): ResultAsync<RecordPage, StoreFailure>;

  /**
   * Waits for changes of a table.
   *
   * @param table - name of the table
   * @param after - revision after which changes count
   * @param holdMs - how long the store may hold the call without a change. Unit: ms
   * @returns the changes, none when the hold time has passed
   */
  follow(table: string, after: number, holdMs: number): ResultAsync<ChangePage, StoreFailure>;

  /**
   * Applies a transaction.
   *
   * @param transaction - conditions and writes, at most 100 together
   * @returns the revision of what was written
   */
  commit(transaction: Transaction): ResultAsync<number, StoreFailure>;
}
