/** The events of one stream, assembled from the responses of several targets. */
import { EventSplitter, type ServerSentEvent } from './EventSplitter.js';

/**
 * Checks whether an event may follow another in one stream.
 *
 * @param last - id of the previous event; undefined at the start
 * @param next - id of the event
 * @returns false when both ids are numbers and not consecutive
 */
export const isNextEvent = (last: string | undefined, next: string | undefined): boolean => {
  if (last === undefined || next === undefined) return true;
  const [before, after] = [Number(last), Number(next)];
  return Number.isNaN(before) || Number.isNaN(after) || after === before + 1;
};

/** Collects the events of one stream in order, over several responses. */
export class EventSequence {
  lastEventId: string | undefined;

  /** Number of events with content so far. */
  count = 0;

  private splitter = new EventSplitter();

  private hasGap = false;

  /** Starts the next response of the stream. */
  beginResponse(): void {
    this.splitter = new EventSplitter();
    this.hasGap = false;
  }

  /**
   * Adds bytes of the current response.
   *
   * @param chunk - the next bytes
   * @returns the events that continue the stream; none after a gap
   */
  push(chunk: Buffer): ServerSentEvent[] {
    return this.splitter.push(chunk).filter((event) => {
      this.hasGap ||= !isNextEvent(this.lastEventId, event.id);
      if (this.hasGap) return false;
      this.lastEventId = event.id ?? this.lastEventId;
      if (event.hasContent) this.count += 1;
      return true;
    });
  }

  /**
   * Checks whether the rest of the current response is ignored.
   *
   * @returns whether an event was missing, repeated or too large
   */
  get isUnusable(): boolean {
    return this.hasGap || this.splitter.isOversized;
  }

  /**
   * Checks whether the current response is an incomplete part of the stream.
   *
   * @returns whether it ends inside an event, or an event was missing, repeated or too large
   */
  get isTruncated(): boolean {
    return this.isUnusable || this.splitter.hasPartialEvent;
  }
}
