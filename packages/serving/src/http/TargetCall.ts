/** A request to a target, and how its answer is taken. */
import type { ResponseHeaders } from './Dialect.js';

/** A request as it goes to a target. */
export interface TargetRequest {
  readonly method: string;
  readonly path: string;
  /** Names and values by turns. */
  readonly headers: string[];
  readonly body: Buffer | null;
}

/** Takes the answer of a target. Exactly one of `end` and `fail` is called last, unless the answer is discarded. */
export interface ResponseListener {
  /** The request is about to be written; from here on the target may have run it. */
  sent(): void;
  /** Called once: informational heads are left out. */
  head(status: number, headers: ResponseHeaders): void;
  data(chunk: Buffer): void;
  end(): void;
  fail(error: Error): void;
}

/** Control of a request at a target. */
export interface TargetCall {
  /** Breaks the connection, so that the target stops its work. */
  abort(): void;
  /** Takes nothing more of the answer; the connection is kept if little of it is left. */
  discard(): void;
  pause(): void;
  resume(): void;
}
