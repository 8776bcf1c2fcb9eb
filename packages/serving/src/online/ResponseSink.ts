/** Destination of a target's response: the caller, or the result of a batch item. */

import type { EventLineCheck } from './EventSplitter.js';

/** Receives the responses of one or more attempts, one after the other. */
export interface ResponseSink {
  /** Whether a further response can only continue the stream, as a part of it was passed on or has to be confirmed. */
  readonly isContinuation: boolean;

  /** Whether a response with status 200 must be a stream of events. */
  readonly expectsEvents: boolean;

  /** Id of the last complete event. */
  readonly lastEventId: string | undefined;

  /** Number of complete events so far, or of writes where the body is not split into events. */
  readonly progress: number;

  /**
   * Whether the bytes received so far end inside an event, or events are missing between them, or the response has no
   * event although the stream has not begun or only the end of the connection ends it.
   */
  readonly isTruncated: boolean;

  /** Whether the rest of the current response is ignored: an event was invalid, missing, repeated or too large. */
  readonly isUnusable: boolean;

  /**
   * Starts a response.
   *
   * @param status - HTTP status
   * @param headers - headers for the caller
   * @param isCloseDelimited - whether the response has neither a length nor chunks, and ends with its connection
   * @param version - version of the target
   * @param acceptsEventLine - checks lines of events whose field the event-stream format does not define
   */
  begin(
    status: number,
    headers: Record<string, string | string[]>,
    isCloseDelimited: boolean,
    version: string,
    acceptsEventLine?: EventLineCheck,
  ): void;

  /**
   * Writes a part of the response body.
   *
   * @param chunk - the next bytes
   * @returns whether the sink accepts more at present
   */
  write(chunk: Buffer): boolean;

  /**
   * Registers a callback for the time when the sink accepts more.
   *
   * @param resume - called once
   */
  onceDrained(resume: () => void): void;
}
