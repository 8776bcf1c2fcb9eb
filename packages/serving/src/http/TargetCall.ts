/** A request to a target, and the listener for its response. */
import type { ResponseHeaders } from './Dialect.js';

/** A request as sent to a target. */
export interface TargetRequest {
  /** Id that the target echoes in its response; empty if the request has none. */
  readonly id: string;
  readonly method: string;
  readonly path: string;
  /** Alternating names and values. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** Code of the failure of a request that can't be sent to any target, as its head is invalid. */
export const INVALID_REQUEST = 'INVALID_REQUEST';

/** Receives the response of a target. The last call is either `end` or `fail`, unless the response is discarded. */
export interface ResponseListener {
  /** Called when the request is about to be written; from here on the target may have run it. */
  sent(): void;
  /** Called once, with the final head; informational heads are not passed on. */
  head(status: number, headers: ResponseHeaders): void;
  data(chunk: Buffer): void;
  /**
   * Called when the response has ended.
   *
   * @param connectionError - failure of the connection with which the response ended, if any
   */
  end(connectionError: Error | undefined): void;
  fail(error: Error): void;
}

/** Controls a running request to a target. */
export interface TargetCall {
  /** Closes the connection, so that the target stops its work. */
  abort(): void;
  /** Ignores the rest of the response. The connection is kept if the rest is small. */
  discard(): void;
  pause(): void;
  resume(): void;
}
