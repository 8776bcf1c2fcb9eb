/** Interface to the platform's transactional table service. */
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

/** Attributes of a row, without its key. */
export type Attributes = Readonly<Record<string, Attribute>>;

/** A row of the table. */
export interface Row extends RowKey {
  readonly attributes: Attributes;
}

/**
 * A condition on one row (`absent`, `present`) or on one of its attributes; all conditions of a list must
 * hold.
 */
export type Condition =
  | { readonly kind: 'absent' }
  | { readonly kind: 'present' }
  | { readonly kind: 'equals'; readonly attribute: string; readonly value: string | number }
  | { readonly kind: 'less'; readonly attribute: string; readonly value: number }
  | { readonly kind: 'missing'; readonly attribute: string };

/** One write of a transaction. */
export type Write =
  | {
      /** Creates or replaces the row. */
      readonly kind: 'put';
      readonly key: RowKey;
      readonly attributes: Attributes;
      readonly conditions?: readonly Condition[];
    }
  | {
      /** Sets some attributes of a row; creates an absent row unless a condition forbids it. */
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
      /** Writes nothing; the transaction fails if a condition does not hold. */
      readonly kind: 'check';
      readonly key: RowKey;
      readonly conditions: readonly Condition[];
    };

/** Why a call to the table failed. */
export type TableFailure =
  /** Conditions did not hold; nothing was written. `failed` lists the indexes of the writes with such conditions. */
  | { readonly kind: 'conflict'; readonly failed: readonly number[] }
  /** The service rejected the request, or the connection could not be established; nothing was written. */
  | { readonly kind: 'unavailable'; readonly message: string }
  /** The outcome is unknown; the writes may have taken effect or may still take effect. */
  | { readonly kind: 'unknown'; readonly message: string };

/** Query for rows of a partition, ordered by sort key. */
export interface RowQuery {
  readonly pk: string;
  /** Prefix of the sort keys; absent for all rows. */
  readonly prefix?: string;
  readonly limit?: number;
  /** Whether the highest sort key comes first. */
  readonly descending?: boolean;
}

/** The platform's table service. */
export interface Table {
  /**
   * Reads one row with a strongly consistent read.
   *
   * @param key - key of the row
   * @returns the row, or `undefined` when it is absent
   */
  get(key: RowKey): ResultAsync<Row | undefined, TableFailure>;

  /**
   * Reads rows of a partition with strongly consistent reads, page by page.
   *
   * @param query - partition and range
   * @returns the rows
   */
  query(query: RowQuery): ResultAsync<Row[], TableFailure>;

  /**
   * Applies all writes in one transaction, or none.
   *
   * @param writes - at most 100 writes on different rows
   * @param token - identifies this transaction, at most 36 characters: attempts with the same token within
   *   10 minutes take effect at most once and get the outcome of the first one
   * @returns nothing, or why it failed
   */
  transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure>;

  /**
   * Applies all writes in one transaction, or none, and retries with the same token while the outcome is
   * unknown.
   *
   * @param writes - at most 100 writes on different rows
   * @param token - identifies this transaction
   * @param deadline - monotonic time (`performance.now()`) at which the last attempt is aborted. Unit: ms
   * @returns nothing, or why it failed; `unknown` when the outcome is not known by the deadline
   */
  transactWithRetry(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): ResultAsync<void, TableFailure>;

  /** Closes the connections. */
  close(): void;
}
