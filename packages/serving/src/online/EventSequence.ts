/** The events of one stream, put together from the answers of several targets. */
import { EventSplitter, type ServerSentEvent } from './EventSplitter.js';

/**
 * Tells whether an event may follow another in one stream.
 *
 * @param last - id of the event before; absent at the start
 * @param next - id of the event
 * @returns false when numbered events are missing or repeated between them
 */
export const isNextEvent = (last: string | undefined, next: string | undefined): boolean => {
  if (last === undefined || next === undefined) return true;
  const [before, after] = [Number(last), Number(next)];
  return Number.isNaN(before) || Number.isNaN(after) || after === before + 1;
};

/** Collects the events of one stream in order, over several answers. */
export class EventSequence {
  lastEventId: string | undefined;

  /** Number of events so far that carry anything. */
  count = 0;

  private splitter = new EventSplitter();

  private hasGap = false;

  /** Starts the next answer of the stream. */
  beginResponse(): void {
    this.splitter = new EventSplitter();
    this.hasGap = false;
  }

  /**
   * Takes bytes of the present answer.
   *
   * @param chunk - the next bytes
   * @returns the events that follow those before; after a gap none
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
   * Tells whether nothing more is taken from the present answer.
   *
   * @returns whether an event was missing, repeated or larger than allowed
   */
  get isUnusable(): boolean {
    return this.hasGap || this.splitter.isOversized;
  }

  /**
   * Tells whether the present answer is no whole part of the stream.
   *
   * @returns whether it stops inside an event, or an event was missing, repeated or too large
   */
  get isTruncated(): boolean {
    return this.isUnusable || this.splitter.hasPartialEvent;
  }
}
