/** Splits a stream of bytes into lines with their offsets. */

const NEWLINE = 0x0a;

/** One line of a stream. */
export interface Line {
  /** Line number, from 1. */
  readonly number: number;
  /** Offset of its first byte in the stream. */
  readonly offset: number;
  /** Content without the newline; undefined if the line exceeds the limit. */
  readonly bytes: Buffer | undefined;
}

/**
 * Splits a stream into lines.
 *
 * @param stream - the bytes, in pieces of any size
 * @param maxBytes - maximum length of a line whose content is kept. Unit: bytes
 * @yields each line; a trailing newline does not start another line
 */
export async function* splitLines(
  stream: AsyncIterable<Uint8Array>,
  maxBytes: number,
): AsyncGenerator<Line> {
  let parts: Buffer[] = [];
  let length = 0;
  let number = 1;
  let offset = 0;
  const append = (part: Buffer): void => {
    length += part.length;
    if (length <= maxBytes) parts.push(part);
    else parts = [];
  };
  const finishLine = (): Line => {
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
      append(bytes.subarray(start, end));
      start = end + 1;
      yield finishLine();
    }
    append(bytes.subarray(start));
  }
  if (length > 0) yield finishLine();
}
