/** Failures of the batch stores. */
import type { ObjectFailure } from '@jacinthlug/backing/ObjectStore';
import type { TableFailure } from '@jacinthlug/backing/Table';

/** The store could not be reached; nothing was written or read. */
export interface Unavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** No response was received; the write may have taken effect, or may do so later. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly message: string;
}

/** The account has no such object, or the object was deleted. */
export interface NotFound {
  readonly kind: 'not-found';
}

/** A stored row or object does not match its schema. */
export interface Malformed {
  readonly kind: 'malformed';
  readonly message: string;
}

/** Reason why a read failed. */
export type ReadFailure = Unavailable | NotFound | Malformed;

/** Reason why a write failed. */
export type WriteFailure = ReadFailure | Unknown;

/**
 * Converts a failure of a table operation that had no effect.
 *
 * @param failure - failure of the table
 * @returns the failure to report to the caller
 */
export const fromTableFailure = (failure: TableFailure): Unavailable => ({
  kind: 'unavailable',
  message: 'message' in failure ? failure.message : failure.kind,
});

/**
 * Converts a failure of the object store.
 *
 * @param failure - failure of the object store
 * @returns the failure to report to the caller
 */
export const fromObjectFailure = (failure: ObjectFailure): Unavailable | NotFound =>
  failure.kind === 'absent' ? { kind: 'not-found' } : failure;
