/** Interface to the platform's object store. */
import type { Readable } from 'node:stream';
import type { ResultAsync } from 'neverthrow';

/** Why a call to the object store failed. */
export type ObjectFailure =
  | { readonly kind: 'absent' }
  /** No response or an error; a put may have taken effect. A put of the same content can safely be retried. */
  | { readonly kind: 'unavailable'; readonly message: string };

/** A range of bytes, both ends included. */
export interface ByteRange {
  readonly first: number;
  readonly last: number;
}

/** The platform's object store. */
export interface ObjectStore {
  /**
   * Writes an object; the write is atomic.
   *
   * @param name - name of the object
   * @param body - content
   * @param signal - ends the call when it is aborted, in place of the timeout of a call
   */
  put(
    name: string,
    body: Uint8Array | string,
    signal?: AbortSignal,
  ): ResultAsync<void, ObjectFailure>;

  /**
   * Reads an object into memory.
   *
   * @param name - name of the object
   * @param range - bytes to read; the complete object when absent
   * @param signal - ends the call when it is aborted, in place of the timeout of a call
   * @returns the content
   */
  get(name: string, range?: ByteRange, signal?: AbortSignal): ResultAsync<Buffer, ObjectFailure>;

  /**
   * Opens an object for reading as a stream.
   *
   * @param name - name of the object
   * @returns the stream; it emits an error when the response is truncated
   */
  open(name: string): ResultAsync<Readable, ObjectFailure>;

  /**
   * Deletes an object; succeeds when the object is absent.
   *
   * @param name - name of the object
   */
  remove(name: string): ResultAsync<void, ObjectFailure>;

  /** Closes the connections. */
  close(): void;
}
