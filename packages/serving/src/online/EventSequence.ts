/** The events of one stream, assembled from the responses of several targets. */
import { EventSplitter, type EventLineCheck, type ServerSentEvent } from './EventSplitter.js';

const EVENT_ID = /^(?:0|[1-9]\d{0,14})$/;

/**
 * Checks whether a text is the id of an event. Ids are numbers, so that a gap or a repetition can be detected.
 *
 * @param text - the text
 * @returns whether it is an id
 */
export const isEventId = (text: string | undefined): text is string =>
  text !== undefined && EVENT_ID.test(text);

/**
 * Checks whether an event may follow another in one stream.
 *
 * @param last - id of the previous event; undefined at the start
 * @param next - id of the event
 * @returns whether the event has an id, which is the one after the previous id
 */
export const isNextEvent = (last: string | undefined, next: string | undefined): boolean =>
  isEventId(next) && (last === undefined || Number(next) === Number(last) + 1);

const maySucceed = (last: string | undefined, event: ServerSentEvent): boolean =>
  event.isValid && (!event.hasContent || isNextEvent(last, event.id));

/** Collects the events of one stream in order, over several responses. */
export class EventSequence {
  lastEventId: string | undefined;

  /** Number of events with content so far. */
  count = 0;

  private splitter = new EventSplitter();

  /** Number of events with content before the current response. */
  private countBefore = 0;

  private hasGap = false;

  /**
   * Starts the next response of the stream.
   *
   * @param acceptsLine - checks lines whose field the event-stream format does not define
   */
  beginResponse(acceptsLine?: EventLineCheck): void {
    this.splitter = new EventSplitter(acceptsLine);
    this.hasGap = false;
    this.countBefore = this.count;
  }

  /**
   * Adds bytes of the current response.
   *
   * @param chunk - the next bytes
   * @returns the events that continue the stream; none after a gap or an invalid event
   */
  push(chunk: Buffer): ServerSentEvent[] {
    return this.splitter.push(chunk).filter((event) => {
      this.hasGap ||= !maySucceed(this.lastEventId, event);
      if (this.hasGap) return false;
      this.lastEventId = event.id ?? this.lastEventId;
      if (event.hasContent) this.count += 1;
      return true;
    });
  }

  /**
   * Checks whether the current response has brought nothing so far.
   *
   * @returns whether it has no event with content
   */
  get isResponseEmpty(): boolean {
    return this.count === this.countBefore;
  }

  /**
   * Checks whether the rest of the current response is ignored.
   *
   * @returns whether an event was invalid, missing, repeated or too large
   */
  get isUnusable(): boolean {
    return this.hasGap || this.splitter.isOversized;
  }

  /**
   * Checks whether the current response ends inside an event of the stream.
   *
   * @returns whether a further event has begun
   */
  get hasPartialEvent(): boolean {
    return !this.isUnusable && this.splitter.hasPartialEvent;
  }

  /**
   * Checks whether the current response is an incomplete part of the stream.
   *
   * @returns whether it ends inside an event, or an event was invalid, missing, repeated or too large
   */
  get isTruncated(): boolean {
    return this.isUnusable || this.splitter.hasPartialEvent;
  }
}
