/** Splits a body of server-sent events into whole events. */
import type { StreamEnding } from './AttemptOutcome.js';

/** Largest event that is held back until it is whole. Unit: bytes. */
const MAX_EVENT_BYTES = 8 * 1024 * 1024;

/** Rest after the final event that is read, so that the connection can be used again. Unit: bytes. */
const MAX_TRAILING_BYTES = 16 * 1024;

const FINAL_EVENT = /(?:^|[\r\n])data: ?\[DONE\][ \t]*(?=[\r\n]|$)/;

const separators = ['\n\n', '\r\n\r\n', '\r\r'];

/** Gives the length of the part that consists of whole events. */
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
 * Reads server-sent events. An unfinished event is held back, so that a cut never reaches the caller as a
 * broken event.
 *
 * @param body - chunks as they come
 * @yields one or more whole events
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
