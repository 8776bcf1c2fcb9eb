/** The response to a caller, which may be assembled from the responses of several targets. */
import type { ServerResponse } from 'node:http';
import { RESET_DELAY_MS, resetConnection } from '../http/resetConnection.js';
import type { ResponseSink } from './ResponseSink.js';
import { EventSequence, isEventId } from './EventSequence.js';
import type { EventLineCheck } from './EventSplitter.js';

const LENGTH_HEADER = 'content-length';

/** Status of a response without a body, which must not state a length. */
const NO_CONTENT = 204;

/**
 * Leaves out the length of a target's response, which is not that of a stream of several responses. The final chunk states
 * the end of the stream in its place.
 */
const omitLength = (
  headers: Record<string, string | string[]>,
): Record<string, string | string[]> =>
  Object.fromEntries(Object.entries(headers).filter(([name]) => name !== LENGTH_HEADER));

/** Status and headers of a response. */
interface ResponseHead {
  readonly status: number;
  /** Version of the target. */
  readonly version: string;
  readonly headers: Record<string, string | string[]>;
}

/** Writes one response to a caller. */
export class CallerResponse implements ResponseSink {
  private readonly events = new EventSequence();

  private splitsEvents = false;

  /** Whether the target's current response has neither a length nor chunks. */
  private isCloseDelimited = false;

  /** Whether the response to the caller has neither, as callers with HTTP/1.0 don't know chunks. */
  private endsWithConnection = false;

  /**
   * Head of the target's current response while none of its body is passed on. It is written with the first part of the
   * body: if the response fails before, the caller can still get the response of another target, or a refusal.
   */
  private pendingHead: ResponseHead | undefined;

  /** Whether the response that the caller receives began with a length or chunks. */
  private beganFramed = false;

  /** Whether the stream went on after the regular end of a target's connection. */
  private hadFalseEnd = false;

  /** Whether the stream is complete unless another target has further events. */
  private awaitsConfirmation = false;

  /** Whether the caller takes up a stream, of which it may have received all events. */
  private readonly isTakenUp: boolean;

  private writeCount = 0;

  /** Monotonic time of the first and the latest write. Unit: ms. */
  private firstWriteAt: number | undefined;

  private lastWriteAt = 0;

  /** Longest time between two writes. Unit: ms. */
  longestPauseMs = 0;

  constructor(
    private readonly response: ServerResponse,
    /** Whether the response is a stream of events. */
    readonly expectsEvents: boolean,
    /** Whether another target can continue the stream. */
    private readonly isResumable: boolean,
    /** Id of the last event that the caller has, when it takes a stream up again. */
    resumeAfter?: string,
    /** Called with the version of its target just before the first part of a stream is written. */
    private readonly onStreamStart?: (version: string) => void,
  ) {
    this.isTakenUp = isEventId(resumeAfter);
    if (this.isTakenUp) this.events.lastEventId = resumeAfter;
  }

  /**
   * Checks whether a part of a response was passed on.
   *
   * @returns false while the caller can still get any response
   */
  get started(): boolean {
    return this.response.headersSent;
  }

  get isContinuation(): boolean {
    return this.started || this.awaitsConfirmation;
  }

  get lastEventId(): string | undefined {
    return this.events.lastEventId;
  }

  get progress(): number {
    return this.splitsEvents ? this.events.count : this.writeCount;
  }

  get isTruncated(): boolean {
    if (!this.splitsEvents) return false;
    if (this.events.isTruncated) return true;
    if (!this.events.isResponseEmpty) return false;
    if (this.events.lastEventId === undefined) return true;
    // A continuation may have no event, but the end of a connection alone does not state it.
    return this.isCloseDelimited && !this.awaitsConfirmation && !this.mayBeOver;
  }

  get isUnusable(): boolean {
    return this.splitsEvents && this.events.isUnusable;
  }

  /**
   * Checks whether another target may continue the response.
   *
   * @returns whether nothing was passed on so far, or only complete events
   */
  get canContinue(): boolean {
    return !this.started || (this.splitsEvents && this.isResumable);
  }

  /**
   * Checks whether another target can tell if the stream is complete: only the regular end of a connection shows where the
   * target's current response ends, and the target may have broken off between two events.
   *
   * @returns whether a target should be asked to go on after the last event
   */
  get needsConfirmation(): boolean {
    if (!this.splitsEvents || !this.isResumable || !this.isCloseDelimited) return false;
    return !this.events.isResponseEmpty || this.mayBeOver;
  }

  /** Records that the next target is asked whether the stream is complete. */
  awaitConfirmation(): void {
    this.awaitsConfirmation = true;
  }

  /** Records that the stream went on after the regular end of a target's connection. */
  recordFalseEnd(): void {
    this.awaitsConfirmation = false;
    this.hadFalseEnd = true;
  }

  /**
   * Checks whether the target's current response has begun an event that it has not completed.
   *
   * @returns whether the stream certainly goes on
   */
  get hasPartialEvent(): boolean {
    return this.splitsEvents && this.events.hasPartialEvent;
  }

  /**
   * Checks whether the response may end once the target's current one has ended. If only the regular end of a connection
   * shows where the current one ends, this is not enough for a response that began with a length or chunks, if such an
   * end was false before, or if the target has sent nothing of a stream that a caller takes up again.
   *
   * @returns whether the end states no more to the caller than the target's end stated
   */
  get canEnd(): boolean {
    return !this.isCloseDelimited || !(this.beganFramed || this.hadFalseEnd || this.mayBeOver);
  }

  /** Starts the next response. Only the first one of which a part is passed on sets status, headers and framing. */
  begin(
    status: number,
    headers: Record<string, string | string[]>,
    isCloseDelimited: boolean,
    version: string,
    acceptsEventLine?: EventLineCheck,
  ): void {
    this.isCloseDelimited = isCloseDelimited;
    // Only complete and valid events are passed on: a target may send other bytes within a stream.
    this.splitsEvents = this.expectsEvents && status === 200;
    this.events.beginResponse(acceptsEventLine);
    if (this.started) return;
    this.beganFramed = !isCloseDelimited;
    const hasLength = !this.splitsEvents && status !== NO_CONTENT;
    this.pendingHead = { status, version, headers: hasLength ? headers : omitLength(headers) };
  }

  write(chunk: Buffer): boolean {
    if (!this.splitsEvents) {
      this.writeCount += 1;
      return this.writeBytes(chunk);
    }
    const events = this.events.push(chunk);
    if (events.length === 0) return true;
    const [first, ...more] = events.map(({ bytes }) => bytes);
    return this.writeBytes(more.length === 0 ? first! : Buffer.concat([first!, ...more]));
  }

  /** Whether the caller may have received all events before it took the stream up. */
  private get mayBeOver(): boolean {
    return this.isTakenUp && this.events.count === 0;
  }

  /**
   * Returns the time to the first write.
   *
   * @param since - monotonic start time. Unit: ms
   * @returns time to the first write; undefined if there was none. Unit: ms
   */
  timeToFirstWriteMs(since: number): number | undefined {
    return this.firstWriteAt === undefined ? undefined : this.firstWriteAt - since;
  }

  onceDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  private writeHead(): void {
    if (!this.pendingHead) return;
    const { status, headers } = this.pendingHead;
    this.pendingHead = undefined;
    // A body of unknown length is sent in chunks. Without its final chunk it is incomplete however the connection ends,
    // also when this process is killed or the caller's HTTP library doesn't report a reset.
    this.response.writeHead(status, headers);
    this.endsWithConnection =
      !this.response.chunkedEncoding && headers[LENGTH_HEADER] === undefined;
  }

  private writeBytes(bytes: Buffer): boolean {
    if (this.pendingHead && this.splitsEvents) this.onStreamStart?.(this.pendingHead.version);
    this.writeHead();
    const now = performance.now();
    if (this.firstWriteAt === undefined) this.firstWriteAt = now;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.lastWriteAt);
    this.lastWriteAt = now;
    return this.response.write(bytes);
  }

  /** Ends the response as complete. */
  end(): void {
    this.writeHead();
    this.response.end();
  }

  /** Closes the connection, so that the response does not look complete. */
  destroy(): void {
    const { socket } = this.response;
    if (this.endsWithConnection && socket) setTimeout(resetConnection, RESET_DELAY_MS, socket);
    else this.response.destroy();
  }
}
