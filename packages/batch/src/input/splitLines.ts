/** Splits a stream of bytes into lines and knows where each begins. */

const NEWLINE = 0x0a;

/** One line of a stream. */
export interface Line {
  /** Number of the line, from 1. */
  readonly number: number;
  /** Offset of its first byte in the stream. */
  readonly offset: number;
  /** Content without the newline; nothing when the line is longer than the limit. */
  readonly bytes: Buffer | undefined;
}

/**
 * Splits a stream into lines.
 *
 * @param stream - chunks of bytes
 * @param maxBytes - longest line whose content is kept. Unit: bytes
 * @yields each line; a stream that ends with a newline has no empty last line
 */
export async function* splitLines(
  stream: AsyncIterable<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Line> {
  let parts: Buffer[] = [];
  let length = 0;
  let number = 1;
  let offset = 0;
  const keep = (part: Buffer): void => {
    length += part.length;
    if (length <= maxBytes) parts.push(part);
    else parts = [];
  };
  const take = (): Line => {
    const line = {
      number,
      offset,
      bytes: length <= maxBytes ? Buffer.concat(parts) : undefined,
    };
    number += 1;
    offset += length + 1;
    parts = [];
    length = 0;
    return line;
  };
  for await (const piece of stream) {
    const bytes = Buffer.from(piece.buffer, piece.byteOffset, piece.byteLength);
    let start = 0;
    for (let end = bytes.indexOf(NEWLINE); end !== -1; end = bytes.indexOf(NEWLINE, start)) {
      keep(bytes.subarray(start, end));
      start = end + 1;
      yield take();
    }
    keep(bytes.subarray(start));
  }
  if (length > 0) yield take();
}
