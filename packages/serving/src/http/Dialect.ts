/** How callers and targets of one deployment spell what the core needs; an adapter implements it. */
import type { IncomingMessage } from 'node:http';
import type { Target } from '../fleet/Target.js';

/** What a caller's request says of itself. */
export interface CallerHead {
  /** Identifies one attempt of the caller. */
  readonly id: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  readonly key: string | undefined;
  /** How long the caller waits, from the arrival of the request; absent when it does not say. Unit: ms. */
  readonly waitMs: number | undefined;
}

/** What a request to a target carries besides the caller's own headers. */
export interface TargetRequestOptions {
  readonly target: Target;
  /** Name of the client account; absent on open routes. */
  readonly account: string | undefined;
  /** How long the target may work. Unit: ms. */
  readonly remainingMs: number;
  /** Last event that the caller has got, when a stream goes on. */
  readonly resumeAfter: string | undefined;
}

/** Headers of an answer, by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** What the head of an answer says about the request. */
export type HeadClassification =
  /** The answer belongs to the request. */
  | 'answer'
  /** The target states that it did not run the request. */
  | 'not-run'
  /** The address belongs to another target, which did not run the request. */
  | 'other-target'
  /** The answer belongs to another request; this one may have run. */
  | 'mismatched';

/** The headers of callers and targets. */
export interface Dialect {
  /**
   * Reads the head of a caller's request.
   *
   * @param message - the request
   * @returns what it says of itself
   */
  readCallerHead(message: IncomingMessage): CallerHead;

  /**
   * Builds the headers of a request to a target.
   *
   * @param rawHeaders - the caller's headers, names and values by turns
   * @param terms - what the host adds
   * @returns names and values by turns
   */
  buildTargetHeaders(rawHeaders: readonly string[], terms: TargetRequestOptions): string[];

  /**
   * Builds the headers of a batch item's request to a target.
   *
   * @param rawHeaders - headers of the item with its host, names and values by turns
   * @param item - id of the item
   * @param terms - what the host adds
   * @returns names and values by turns
   */
  buildItemHeaders(
    rawHeaders: readonly string[],
    item: string,
    terms: TargetRequestOptions,
  ): string[];

  /**
   * Judges the head of an answer.
   *
   * @param status - HTTP status
   * @param headers - headers of the answer
   * @param requestId - id of the request that was sent
   * @returns the verdict
   */
  judgeHead(status: number, headers: ResponseHeaders, requestId: string): HeadClassification;

  /**
   * Tells whether a target says in an answer that it leaves.
   *
   * @param headers - headers of the answer
   * @returns whether it must get nothing new
   */
  saysLeaving(headers: ResponseHeaders): boolean;

  /**
   * Selects the headers of an answer that the caller gets.
   *
   * @param headers - headers of the answer
   * @returns headers for the caller
   */
  callerHeaders(headers: ResponseHeaders): Record<string, string | string[]>;

  /**
   * Renders the time after which a caller may come back.
   *
   * @param seconds - the time
   * @returns value of `Retry-After`
   */
  renderRetryAfter(seconds: number): string;
}
