/** Splits a stream of server-sent events into its events. */

/** A complete event. */
export interface ServerSentEvent {
  /** The bytes of the event, including the blank line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Whether it has an id or data. Comments alone only keep the connection open. */
  readonly hasContent: boolean;
  /** Whether it has only lines that an event may have, and at most one id. */
  readonly isValid: boolean;
}

/**
 * Checks a line whose field the event-stream format does not define.
 *
 * @param line - the line without its terminator
 * @param isFirst - whether it is the first line of the event
 * @returns whether an event may have the line
 */
export type EventLineCheck = (line: string, isFirst: boolean) => boolean;

const rejectLine: EventLineCheck = () => false;

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;
const COLON = 58;

const ID_FIELD = Buffer.from('id:');
const DATA_FIELD = Buffer.from('data:');
/** The other fields; clients ignore their values where they are malformed. */
const OTHER_FIELDS = [Buffer.from('event:'), Buffer.from('retry:')];
/** Fields without a value. */
const BARE_FIELDS: ReadonlySet<string> = new Set(['id', 'data', 'event', 'retry']);

/**
 * Maximum size of an event, including the comments before it. A token takes some tens of bytes, and an event holds a
 * few of them. Unit: bytes.
 */
export const MAX_EVENT_BYTES = 262_144;

/** Sizes of the first and the largest block of an incomplete event. Unit: bytes. */
const MIN_BLOCK_BYTES = 512;
const MAX_BLOCK_BYTES = 16_384;

/** Calls back with the start and end of each line, without its line terminator. */
const forEachLine = (bytes: Buffer, visit: (start: number, end: number) => void): void => {
  for (let start = 0; start < bytes.length;) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const end = feed < 0 ? bytes.length : feed;
    visit(start, end > start && bytes[end - 1] === CARRIAGE_RETURN ? end - 1 : end);
    start = end + 1;
  }
};

const startsWithField = (bytes: Buffer, start: number, end: number, name: Buffer): boolean => {
  if (end - start < name.length) return false;
  for (let index = 0; index < name.length; index += 1) {
    if (bytes[start + index] !== name[index]) return false;
  }
  return true;
};

const readFieldValue = (bytes: Buffer, start: number, end: number): string =>
  bytes.toString('utf8', bytes[start] === SPACE && start < end ? start + 1 : start, end);

/**
 * Reads the data of an event. Only batch items need it: streams to callers are passed on as bytes.
 *
 * @param event - the event
 * @returns content of the data lines, joined by line feeds; undefined without data lines
 */
export const readData = ({ bytes }: ServerSentEvent): string | undefined => {
  const lines: string[] = [];
  forEachLine(bytes, (start, end) => {
    if (startsWithField(bytes, start, end, DATA_FIELD))
      lines.push(readFieldValue(bytes, start + DATA_FIELD.length, end));
  });
  return lines.length > 0 ? lines.join('\n') : undefined;
};

const isOtherLine = (
  bytes: Buffer,
  start: number,
  end: number,
  acceptsLine: EventLineCheck,
): boolean => {
  if (start === end || bytes[start] === COLON) return true;
  if (OTHER_FIELDS.some((name) => startsWithField(bytes, start, end, name))) return true;
  const line = bytes.toString('utf8', start, end);
  return BARE_FIELDS.has(line) || acceptsLine(line, start === 0);
};

const parseEvent = (bytes: Buffer, acceptsLine: EventLineCheck): ServerSentEvent => {
  let id: string | undefined;
  let hasContent = false;
  let isValid = true;
  forEachLine(bytes, (start, end) => {
    if (startsWithField(bytes, start, end, ID_FIELD)) {
      isValid &&= id === undefined;
      id = readFieldValue(bytes, start + ID_FIELD.length, end);
      hasContent = true;
    } else if (startsWithField(bytes, start, end, DATA_FIELD)) {
      hasContent = true;
    } else {
      isValid &&= isOtherLine(bytes, start, end, acceptsLine);
    }
  });
  return { bytes, id, hasContent, isValid };
};

/** Buffers bytes until events are complete. Each byte is scanned once, even if the bytes arrive one by one. */
export class EventSplitter {
  /**
   * Holds the incomplete event; only the last block has spare capacity. One buffer that grows would leave as many bytes
   * again to the garbage collector, in each of the responses that a faulty target sends at once.
   */
  private blocks: Buffer[] = [];

  private bufferedBytes = 0;

  /** Unit: bytes. */
  private spareCapacity = 0;

  /** Length of the incomplete line. Unit: bytes. */
  private partialLineBytes = 0;

  /** Last byte of the incomplete line. */
  private partialLineLastByte = 0;

  /** Whether the incomplete event has a complete line. */
  private hasCompleteLine = false;

  /** Bytes of comments since the last event with content. */
  private commentBytes = 0;

  /** Whether an event was too large; later bytes are ignored. */
  isOversized = false;

  /**
   * Creates a splitter.
   *
   * @param acceptsLine - checks lines whose field the event-stream format does not define
   */
  constructor(private readonly acceptsLine: EventLineCheck = rejectLine) {}

  /**
   * Adds bytes.
   *
   * @param chunk - the next bytes of the stream
   * @returns the events that they complete
   */
  push(chunk: Buffer): ServerSentEvent[] {
    const events: ServerSentEvent[] = [];
    if (this.isOversized) return events;
    let eventStart = 0;
    let lineStart = 0;
    for (
      let feed = chunk.indexOf(LINE_FEED);
      feed >= 0;
      feed = chunk.indexOf(LINE_FEED, lineStart)
    ) {
      const isEmpty = this.isEmptyLine(chunk, lineStart, feed);
      lineStart = feed + 1;
      this.partialLineBytes = 0;
      if (isEmpty && this.hasCompleteLine) {
        const bytes = this.completeEvent(chunk.subarray(eventStart, lineStart));
        if (this.isOversized) return events;
        const event = parseEvent(bytes, this.acceptsLine);
        this.commentBytes = event.hasContent ? 0 : this.commentBytes + bytes.length;
        this.isOversized = this.commentBytes > MAX_EVENT_BYTES;
        if (this.isOversized) return events;
        events.push(event);
        eventStart = lineStart;
      } else {
        this.hasCompleteLine = true;
      }
    }
    if (lineStart < chunk.length) {
      this.partialLineBytes += chunk.length - lineStart;
      this.partialLineLastByte = chunk[chunk.length - 1]!;
    }
    this.append(chunk.subarray(eventStart));
    return events;
  }

  /**
   * Checks whether an incomplete event is buffered.
   *
   * @returns whether the bytes so far end inside an event
   */
  get hasPartialEvent(): boolean {
    return this.bufferedBytes > 0;
  }

  private isEmptyLine(chunk: Buffer, start: number, feed: number): boolean {
    const bytes = this.partialLineBytes + feed - start;
    if (bytes === 0) return true;
    const last = feed > start ? chunk[feed - 1] : this.partialLineLastByte;
    return bytes === 1 && last === CARRIAGE_RETURN;
  }

  /** Returns the bytes of the event that ends with the given ones. */
  private completeEvent(end: Buffer): Buffer {
    this.hasCompleteLine = false;
    if (this.bufferedBytes === 0) return end;
    this.append(end);
    const event = Buffer.concat(this.blocks, this.bufferedBytes);
    this.clear();
    return event;
  }

  private append(bytes: Buffer): void {
    if (bytes.length === 0) return;
    const needed = this.bufferedBytes + bytes.length;
    if (needed > MAX_EVENT_BYTES) {
      this.isOversized = true;
      this.clear();
      return;
    }
    for (let copied = 0; copied < bytes.length;) copied += this.copyToBlock(bytes.subarray(copied));
  }

  /** Copies as many bytes as the last block holds, or a new one if it is full; returns their number. */
  private copyToBlock(bytes: Buffer): number {
    if (this.spareCapacity === 0) {
      this.spareCapacity = Math.min(MAX_BLOCK_BYTES, Math.max(MIN_BLOCK_BYTES, this.bufferedBytes));
      this.blocks.push(Buffer.allocUnsafe(this.spareCapacity));
    }
    const block = this.blocks[this.blocks.length - 1]!;
    const copied = bytes.copy(block, block.length - this.spareCapacity);
    this.spareCapacity -= copied;
    this.bufferedBytes += copied;
    return copied;
  }

  private clear(): void {
    this.blocks = [];
    this.bufferedBytes = 0;
    this.spareCapacity = 0;
  }
}
