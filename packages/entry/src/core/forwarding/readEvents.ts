/** Splits a body of server-sent events into complete events. */
import type { StreamEnding } from './AttemptOutcome.js';

/** Maximum size of an incomplete event that is buffered. Unit: bytes. */
const MAX_EVENT_BYTES = 8 * 1024 * 1024;

/** Maximum size of the data read after the final event so that the connection can be reused. Unit: bytes. */
const MAX_TRAILING_BYTES = 16 * 1024;

const FINAL_EVENT = /(?:^|[\r\n])data: ?\[DONE\][ \t]*(?=[\r\n]|$)/;

const separators = ['\n\n', '\r\n\r\n', '\r\r'];

/** Returns the length of the prefix that consists of complete events. */
const getCompleteLength = (pending: Buffer): number =>
  Math.max(
    ...separators.map((separator) => {
      const at = pending.lastIndexOf(separator);
      return at < 0 ? 0 : at + separator.length;
    }),
  );

const containsFinalEvent = (events: Buffer): boolean =>
  events.includes('[DONE]') && FINAL_EVENT.test(events.toString('latin1'));

/**
 * Reads server-sent events. Incomplete events are buffered, so that the caller never receives part of an
 * event when the stream is cut.
 *
 * @param body - chunks of the body
 * @yields one or more complete events
 * @returns `complete` after the final event `data: [DONE]`, `cut` when the body ended without it
 */
export async function* readEvents(
  body: AsyncIterable<Uint8Array>,
): AsyncGenerator<Buffer, StreamEnding> {
  let pending: Buffer = Buffer.alloc(0);
  let complete = false;
  try {
    for await (const chunk of body) {
      pending = Buffer.concat([pending, chunk]);
      if (complete) {
        if (pending.length > MAX_TRAILING_BYTES) break;
        continue;
      }
      const length = getCompleteLength(pending);
      if (length > 0) {
        const events = pending.subarray(0, length);
        pending = pending.subarray(length);
        yield events;
        complete = containsFinalEvent(events);
      }
      if (pending.length > MAX_EVENT_BYTES) return 'cut';
    }
  } catch {
    return complete ? 'complete' : 'cut';
  }
  if (complete) return 'complete';
  if (!containsFinalEvent(pending)) return 'cut';
  yield Buffer.concat([pending, Buffer.from('\n\n')]);
  return 'complete';
}
