/** Why a call to the job store failed. */
import type { ObjectFailure } from '@jacinthlug/backing/ObjectStore';
import type { TableFailure } from '@jacinthlug/backing/Table';

/** Nothing was written, or nothing could be read. */
export interface Unavailable {
  readonly kind: 'unavailable';
  readonly message: string;
}

/** No answer; the write may have taken effect, now or later. */
export interface Unknown {
  readonly kind: 'unknown';
  readonly message: string;
}

/** The account has no such object, or it was deleted. */
export interface NotFound {
  readonly kind: 'not-found';
}

/** A stored row or object does not match its schema. */
export interface Malformed {
  readonly kind: 'malformed';
  readonly message: string;
}

/** Why a read failed. */
export type ReadFailure = Unavailable | NotFound | Malformed;

/** Why a write failed. */
export type WriteFailure = ReadFailure | Unknown;

/**
 * Turns a failure of a table read into one of the job store.
 *
 * @param failure - failure of the table
 * @returns the failure to report
 */
export const fromTableFailure = (failure: TableFailure): Unavailable => ({
  kind: 'unavailable',
  message: 'message' in failure ? failure.message : failure.kind,
});

/**
 * Turns a failure of the object store into one of the job store.
 *
 * @param failure - failure of the object store
 * @returns the failure to report
 */
export const fromObjectFailure = (failure: ObjectFailure): Unavailable | NotFound =>
  failure.kind === 'absent' ? { kind: 'not-found' } : failure;
