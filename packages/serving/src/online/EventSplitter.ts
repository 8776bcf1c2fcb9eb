/** Splits a stream of server-sent events into whole events. */

/** A whole event. */
export interface StreamEvent {
  /** The bytes of the event with the empty line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Whether it carries anything; comments alone only keep a connection open. */
  readonly hasContent: boolean;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;

const ID_FIELD = Buffer.from('id:');
const DATA_FIELD = Buffer.from('data:');

/**
 * Largest event, with the comments before it: a token takes some tens of bytes, and an event holds a few of them.
 * Unit: bytes.
 */
export const LARGEST_EVENT_BYTES = 262_144;

/** Room for the first bytes of an unfinished event. Unit: bytes. */
const FIRST_ROOM_BYTES = 512;

const NOTHING = Buffer.alloc(0);

/** Calls back with the start and the end of each line, without the end of the line. */
const forEachLine = (bytes: Buffer, visit: (start: number, end: number) => void): void => {
  for (let start = 0; start < bytes.length;) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const end = feed < 0 ? bytes.length : feed;
    visit(start, end > start && bytes[end - 1] === CARRIAGE_RETURN ? end - 1 : end);
    start = end + 1;
  }
};

const isField = (bytes: Buffer, start: number, end: number, name: Buffer): boolean => {
  if (end - start < name.length) return false;
  for (let index = 0; index < name.length; index += 1) {
    if (bytes[start + index] !== name[index]) return false;
  }
  return true;
};

const readValue = (bytes: Buffer, start: number, end: number): string =>
  bytes.toString('utf8', bytes[start] === SPACE && start < end ? start + 1 : start, end);

/**
 * Reads the content of an event. Streams to callers are passed on without it.
 *
 * @param event - the event
 * @returns content of the data lines, joined by line feeds; nothing without data lines
 */
export const dataOf = ({ bytes }: StreamEvent): string | undefined => {
  const lines: string[] = [];
  forEachLine(bytes, (start, end) => {
    if (isField(bytes, start, end, DATA_FIELD))
      lines.push(readValue(bytes, start + DATA_FIELD.length, end));
  });
  return lines.length > 0 ? lines.join('\n') : undefined;
};

const toEvent = (bytes: Buffer): StreamEvent => {
  let id: string | undefined;
  let hasContent = false;
  forEachLine(bytes, (start, end) => {
    if (isField(bytes, start, end, ID_FIELD)) {
      id = readValue(bytes, start + ID_FIELD.length, end);
      hasContent = true;
    } else if (isField(bytes, start, end, DATA_FIELD)) {
      hasContent = true;
    }
  });
  return { bytes, id, hasContent };
};

/** Collects bytes until events are whole. Each byte is looked at once, however small the parts are that it comes in. */
export class EventSplitter {
  /** Bytes of the unfinished event, with room for more. */
  private rest: Buffer = NOTHING;

  private restBytes = 0;

  /** Bytes of the unfinished line. */
  private lineBytes = 0;

  /** Last byte of the unfinished line. */
  private lastByte = 0;

  /** Whether the unfinished event has a whole line. */
  private hasLine = false;

  /** Bytes of comments since the last event that carried anything. */
  private idleBytes = 0;

  /** Whether an event was larger than allowed; nothing is collected from then on. */
  isOverlong = false;

  /**
   * Takes bytes.
   *
   * @param chunk - the next bytes of the stream
   * @returns the events that they complete
   */
  push(chunk: Buffer): StreamEvent[] {
    const events: StreamEvent[] = [];
    if (this.isOverlong) return events;
    let eventStart = 0;
    let lineStart = 0;
    for (
      let feed = chunk.indexOf(LINE_FEED);
      feed >= 0;
      feed = chunk.indexOf(LINE_FEED, lineStart)
    ) {
      const isEmpty = this.isEmptyLine(chunk, lineStart, feed);
      lineStart = feed + 1;
      this.lineBytes = 0;
      if (isEmpty && this.hasLine) {
        const bytes = this.takeEvent(chunk.subarray(eventStart, lineStart));
        if (this.isOverlong) return events;
        const event = toEvent(bytes);
        this.idleBytes = event.hasContent ? 0 : this.idleBytes + bytes.length;
        this.isOverlong = this.idleBytes > LARGEST_EVENT_BYTES;
        if (this.isOverlong) return events;
        events.push(event);
        eventStart = lineStart;
      } else {
        this.hasLine = true;
      }
    }
    if (lineStart < chunk.length) {
      this.lineBytes += chunk.length - lineStart;
      this.lastByte = chunk[chunk.length - 1]!;
    }
    this.keep(chunk.subarray(eventStart));
    return events;
  }

  /**
   * Tells whether bytes of an unfinished event are left.
   *
   * @returns whether the stream stopped in the middle of an event
   */
  get hasRest(): boolean {
    return this.restBytes > 0;
  }

  private isEmptyLine(chunk: Buffer, start: number, feed: number): boolean {
    const bytes = this.lineBytes + feed - start;
    if (bytes === 0) return true;
    const last = feed > start ? chunk[feed - 1] : this.lastByte;
    return bytes === 1 && last === CARRIAGE_RETURN;
  }

  /** Gives the event that ends with these bytes. */
  private takeEvent(end: Buffer): Buffer {
    this.hasLine = false;
    if (this.restBytes === 0) return end;
    this.keep(end);
    const event = this.rest.subarray(0, this.restBytes);
    this.rest = NOTHING;
    this.restBytes = 0;
    return event;
  }

  private keep(bytes: Buffer): void {
    if (bytes.length === 0) return;
    const needed = this.restBytes + bytes.length;
    if (needed > LARGEST_EVENT_BYTES) {
      this.isOverlong = true;
      this.rest = NOTHING;
      return;
    }
    if (needed > this.rest.length) {
      const grown = Buffer.allocUnsafe(Math.max(needed, this.rest.length * 2, FIRST_ROOM_BYTES));
      this.rest.copy(grown, 0, 0, this.restBytes);
      this.rest = grown;
    }
    bytes.copy(this.rest, this.restBytes);
    this.restBytes = needed;
  }
}
