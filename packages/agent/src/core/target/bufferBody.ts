/** Reads the body of an answer whole. */
import type { IncomingHttpHeaders } from 'node:http';
import type { OpenResponse } from './TargetClient.js';

/** Largest answer that is held in memory. Unit: bytes. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

const BODYLESS_STATUSES = new Set([204, 304]);

/**
 * Tells whether the end of an answer can be told from a cut.
 *
 * @param status - HTTP status
 * @param headers - headers of the answer
 * @returns whether it has a length or is chunked, or has no body
 */
export const isFramed = (status: number, headers: IncomingHttpHeaders): boolean =>
  BODYLESS_STATUSES.has(status) ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

/** A body as far as it fits into memory. */
export interface BufferedBody {
  readonly bytes: Buffer;
  /** Whether nothing follows. */
  readonly isComplete: boolean;
}

/**
 * Reads a body up to {@link MAX_BUFFERED_BYTES}. Throws what the body throws when it is cut.
 *
 * @param answer - answer with its body
 * @returns the bytes read; the rest can still be read from the body when it is not whole
 */
export const bufferBody = async (answer: OpenResponse): Promise<BufferedBody> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of answer.body.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk as Buffer);
    length += (chunk as Buffer).length;
    if (length > MAX_BUFFERED_BYTES) return { bytes: Buffer.concat(chunks), isComplete: false };
  }
  return { bytes: Buffer.concat(chunks), isComplete: true };
};
