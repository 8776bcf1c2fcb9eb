/** The narrow interface to the platform's transactional table service. */
import type { ResultAsync } from 'neverthrow';

/** Key of a row. */
export interface RowKey {
  readonly pk: string;
  readonly sk: string;
}

/** Value of an attribute. */
export type Attribute =
  | string
  | number
  | boolean
  | null
  | Uint8Array
  | readonly Attribute[]
  | { readonly [name: string]: Attribute };

/** Attributes of a row besides its key. */
export type Attributes = Readonly<Record<string, Attribute>>;

/** A row of the table. */
export interface Row extends RowKey {
  readonly attributes: Attributes;
}

/** A condition on one row; all conditions of a list must hold. */
export type Condition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'present' }
  | { readonly kind: 'equals'; readonly attribute: string; readonly value: string | number }
  | { readonly kind: 'less'; readonly attribute: string; readonly value: number }
  | { readonly kind: 'missing'; readonly attribute: string };

/** One write of a transaction. */
export type Write =
  | {
      /** Replaces the whole row. */
      readonly kind: 'put';
      readonly key: RowKey;
      readonly attributes: Attributes;
      readonly conditions?: readonly Condition[];
    }
  | {
      /** Sets some attributes of a row; creates the row when it is absent and no condition forbids it. */
      readonly kind: 'update';
      readonly key: RowKey;
      readonly set: Attributes;
      readonly conditions?: readonly Condition[];
    }
  | {
      readonly kind: 'delete';
      readonly key: RowKey;
      readonly conditions?: readonly Condition[];
    }
  | {
      /** Writes nothing; the transaction fails unless the conditions hold. */
      readonly kind: 'check';
      readonly key: RowKey;
      readonly conditions: readonly Condition[];
    };

/** Why a call to the table failed. */
export type TableFailure =
  /** A condition did not hold; nothing was written. `failed` lists the indexes of those writes. */
  | { readonly kind: 'conflict'; readonly failed: readonly number[] }
  /** The service refused before it did anything, or could not be connected to; nothing was written. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** No answer; the writes may have taken effect, now or later. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Rows of a partition, in order of their sort key. */
export interface RowQuery {
  readonly pk: string;
  /** Only sort keys that start with this. */
  readonly prefix?: string;
  readonly limit?: number;
  /** Highest sort key first. */
  readonly descending?: boolean;
}

/** The platform's table service. */
export interface Table {
  /**
   * Reads one row with a strongly consistent read.
   *
   * @param key - key of the row
   * @returns the row, or nothing when it is absent
   */
  get(key: RowKey): ResultAsync<Row | undefined, TableFailure>;

  /**
   * Reads rows of a partition with a strongly consistent read; pages are followed.
   *
   * @param query - partition and range
   * @returns the rows
   */
  query(query: RowQuery): ResultAsync<Row[], TableFailure>;

  /**
   * Writes all or nothing.
   *
   * @param writes - at most 100 writes on different rows
   * @param token - names this transaction: a repeat with the same token within 10 minutes takes
   *   effect once and gets the outcome of the first; at most 36 characters
   * @returns nothing, or why it failed
   */
  transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure>;

  /**
   * Writes all or nothing, and repeats with the same token while the outcome is unknown.
   *
   * @param writes - at most 100 writes on different rows
   * @param token - names this transaction
   * @param deadline - monotonic time (`performance.now()`) after which it gives up. Unit: ms
   * @returns nothing, or why it failed; `unknown` when it could not be settled by the deadline
   */
  transactWithRetry(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): ResultAsync<void, TableFailure>;

  /** Closes the connections. */
  close(): void;
}
