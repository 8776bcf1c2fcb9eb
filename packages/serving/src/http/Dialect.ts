/** The HTTP headers that callers and targets of one deployment use; implemented by an adapter. */
import type { IncomingMessage } from 'node:http';
import type { Target } from '../fleet/Target.js';
import type { RequestSize } from '../placement/RequestSize.js';

/** Head of a caller's request. */
export interface CallerHead {
  /** Id of the request; a retry by the caller has an id of its own. */
  readonly id: string;
  /** Value of the `Host` header. */
  readonly host: string;
  /** Path with query. */
  readonly path: string;
  /** API key; undefined when the request has none. */
  readonly key: string | undefined;
  /** Monotonic time of the request's arrival. Unit: ms. */
  readonly arrivedAt: number;
  /** How long the caller waits, from the request's arrival; undefined when not stated. Unit: ms. */
  readonly waitMs: number | undefined;
  /** Id of the last event that the caller has, when it takes a stream up again; undefined otherwise. */
  readonly resumeAfter: string | undefined;
  /** Id of the request that brought the first event of that stream; undefined when not stated. */
  readonly resumedRequest: string | undefined;
  /** Ids of the parts of the prompt that other requests may contain too, in order; empty when not stated. */
  readonly sharedPromptParts: readonly string[];
  /** Size of the request; undefined when not stated. */
  readonly size?: RequestSize | undefined;
}

/** What a request to a target carries in addition to the caller's headers. */
export interface TargetRequestOptions {
  readonly target: Target;
  /** Name of the client account; undefined on open routes. */
  readonly account: string | undefined;
  /** Time that the target has for the request. Unit: ms. */
  readonly remainingMs: number;
  /** Id of the last event that was passed on, when a stream is resumed. */
  readonly resumeAfter: string | undefined;
}

/** Response headers by lower-case name. */
export type ResponseHeaders = Readonly<Record<string, string | string[] | undefined>>;

/** Which request a response belongs to, and whether the target ran the request. */
export type HeadClassification =
  /** The response belongs to the request. */
  | 'answer'
  /** The target states that it did not run the request. */
  | 'not-run'
  /** The address belongs to another target, which did not run the request. */
  | 'other-target'
  /** The response has no proof that it belongs to this request, which may have run. */
  | 'mismatched'
  /** The status tells callers that the request has not run, but the target does not state it. */
  | 'unproven-refusal';

/** Reads and builds the headers of callers and targets. */
export interface Dialect {
  /**
   * Reads the head of a caller's request.
   *
   * @param message - the request
   * @returns the head
   */
  readCallerHead(message: IncomingMessage): CallerHead;

  /**
   * Reads the size that a request states.
   *
   * @param headers - headers of a request or batch item, with names in lower or mixed case
   * @returns the size; undefined when not stated
   */
  readSize(headers: ResponseHeaders): RequestSize | undefined;

  /**
   * Builds the headers of a request to a target.
   *
   * @param rawHeaders - the caller's headers, alternating names and values
   * @param options - what the host adds
   * @returns alternating names and values
   */
  buildTargetHeaders(rawHeaders: readonly string[], options: TargetRequestOptions): string[];

  /**
   * Builds the headers of a batch item's request to a target.
   *
   * @param rawHeaders - headers of the item, including its host; alternating names and values
   * @param item - id of the item
   * @param options - what the host adds
   * @returns alternating names and values
   */
  buildItemHeaders(
    rawHeaders: readonly string[],
    item: string,
    options: TargetRequestOptions,
  ): string[];

  /**
   * Reads the ids of the parts of an item's prompt that other requests may contain too.
   *
   * @param headers - headers of the item
   * @returns the ids in order; empty when not stated
   */
  readItemPromptParts(headers: Readonly<Record<string, string>>): readonly string[];

  /**
   * Classifies the head of a response.
   *
   * @param status - HTTP status
   * @param headers - headers of the response
   * @param requestId - id of the request that was sent; empty if it has none
   * @returns the classification
   */
  classifyHead(status: number, headers: ResponseHeaders, requestId: string): HeadClassification;

  /**
   * Checks whether a response reports that its target is draining.
   *
   * @param headers - headers of the response
   * @returns whether the target must get no new requests
   */
  reportsDraining(headers: ResponseHeaders): boolean;

  /**
   * Selects the response headers that are passed on to the caller.
   *
   * @param headers - headers of the response
   * @returns headers for the caller
   */
  selectCallerHeaders(headers: ResponseHeaders): Record<string, string | string[]>;

  /**
   * Checks a line of an event whose field the event-stream format does not define.
   *
   * @param line - the line without its terminator
   * @param isFirst - whether it is the first line of the event
   * @returns whether targets add such lines to events
   */
  acceptsEventLine(line: string, isFirst: boolean): boolean;

  /**
   * Renders the value of the `Retry-After` header.
   *
   * @param seconds - time after which the caller may retry. Unit: seconds
   * @returns the value
   */
  renderRetryAfter(seconds: number): string;
}
