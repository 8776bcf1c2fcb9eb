/** Splits a stream of server-sent events into whole events. */

/** A whole event. */
export interface StreamEvent {
  /** The bytes of the event with the empty line that ends it. */
  readonly bytes: Buffer;
  readonly id: string | undefined;
  /** Content of the data lines, joined by line feeds; absent without data lines. */
  readonly data: string | undefined;
}

const LINE_FEED = 10;

const readField = (line: string, name: string): string | undefined => {
  if (!line.startsWith(`${name}:`)) return undefined;
  const value = line.slice(name.length + 1);
  return value.startsWith(' ') ? value.slice(1) : value;
};

const parseEvent = (bytes: Buffer): StreamEvent => {
  let id: string | undefined;
  const data: string[] = [];
  bytes
    .toString('utf8')
    .split('\n')
    .forEach((line) => {
      const text = line.endsWith('\r') ? line.slice(0, -1) : line;
      const value = readField(text, 'data');
      if (value !== undefined) data.push(value);
      id = readField(text, 'id') ?? id;
    });
  return { bytes, id, data: data.length > 0 ? data.join('\n') : undefined };
};

/** Index after the empty line that ends the first event, or -1. */
const findEnd = (bytes: Buffer): number => {
  for (let index = bytes.indexOf(LINE_FEED); index >= 0;) {
    const next = bytes.indexOf(LINE_FEED, index + 1);
    if (next < 0) return -1;
    if (next === index + 1 || (next === index + 2 && bytes[index + 1] === 13)) return next + 1;
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
      events.push(parseEvent(this.rest.subarray(0, end)));
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
