/** Splits a stream of server-sent events into whole events. */

/** A whole event. */
export interface StreamEvent {
  /** The bytes of the event with the empty line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
}

const LINE_FEED = 10;
const CARRIAGE_RETURN = 13;
const SPACE = 32;

const ID_FIELD = Buffer.from('id:');
const DATA_FIELD = Buffer.from('data:');

/** Lines of an event without their ends, as positions in its bytes. */
const linesOf = (bytes: Buffer): [number, number][] => {
  const lines: [number, number][] = [];
  for (let start = 0; start < bytes.length;) {
    const feed = bytes.indexOf(LINE_FEED, start);
    const next = feed < 0 ? bytes.length : feed;
    lines.push([start, bytes[next - 1] === CARRIAGE_RETURN ? next - 1 : next]);
    start = next + 1;
  }
  return lines;
};

/** Values of a field, in the order of its lines. */
const readField = (bytes: Buffer, name: Buffer): string[] =>
  linesOf(bytes)
    .filter(
      ([start, end]) =>
        end - start >= name.length &&
        bytes.compare(name, 0, name.length, start, start + name.length) === 0,
    )
    .map(([start, end]) => {
      const value = start + name.length;
      return bytes.toString('utf8', bytes[value] === SPACE && value < end ? value + 1 : value, end);
    });

/**
 * Reads the content of an event. Streams to callers are passed on without it.
 *
 * @param event - the event
 * @returns content of the data lines, joined by line feeds; nothing without data lines
 */
export const dataOf = ({ bytes }: StreamEvent): string | undefined => {
  const lines = readField(bytes, DATA_FIELD);
  return lines.length > 0 ? lines.join('\n') : undefined;
};

/** Index after the empty line that ends the first event, or -1. */
const findEnd = (bytes: Buffer): number => {
  for (let index = bytes.indexOf(LINE_FEED); index >= 0;) {
    const next = bytes.indexOf(LINE_FEED, index + 1);
    if (next < 0) return -1;
    if (next === index + 1 || (next === index + 2 && bytes[index + 1] === CARRIAGE_RETURN))
      return next + 1;
    index = next;
  }
  return -1;
};

/** Collects bytes until events are whole. */
export class EventSplitter {
  private rest: Buffer = Buffer.alloc(0);

  /**
   * Takes bytes.
   *
   * @param chunk - the next bytes of the stream
   * @returns the events that they complete
   */
  push(chunk: Buffer): StreamEvent[] {
    this.rest = this.rest.length > 0 ? Buffer.concat([this.rest, chunk]) : chunk;
    const events: StreamEvent[] = [];
    for (let end = findEnd(this.rest); end >= 0; end = findEnd(this.rest)) {
      const bytes = this.rest.subarray(0, end);
      events.push({ bytes, id: readField(bytes, ID_FIELD).at(-1) });
      this.rest = this.rest.subarray(end);
    }
    return events;
  }

  /**
   * Tells whether bytes of an unfinished event are left.
   *
   * @returns whether the stream stopped in the middle of an event
   */
  get hasRest(): boolean {
    return this.rest.length > 0;
  }
}
