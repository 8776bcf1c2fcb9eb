/** Reads the body of a response into memory. */
import type { IncomingHttpHeaders } from 'node:http';
import type { OpenResponse } from './TargetClient.js';

/** Maximum size of a response that is held in memory. Unit: bytes. */
export const MAX_BUFFERED_BYTES = 8 * 1024 * 1024;

const BODYLESS_STATUSES = new Set([204, 304]);

/**
 * Checks whether the end of a response can be distinguished from a truncation.
 *
 * @param status - HTTP status
 * @param headers - headers of the response
 * @returns whether it has a length, is chunked, or has no body
 */
export const isFramed = (status: number, headers: IncomingHttpHeaders): boolean =>
  BODYLESS_STATUSES.has(status) ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

/** The buffered part of a body. */
export interface BufferedBody {
  readonly bytes: Buffer;
  /** Whether this is the whole body. */
  readonly isComplete: boolean;
}

/**
 * Reads a body up to {@link MAX_BUFFERED_BYTES}.
 *
 * @param response - the response
 * @returns the bytes read; when they are not the whole body, the rest can still be read from it
 * @throws the error of the body stream when the body is truncated
 */
export const bufferBody = async (response: OpenResponse): Promise<BufferedBody> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of response.body.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk as Buffer);
    length += (chunk as Buffer).length;
    if (length > MAX_BUFFERED_BYTES) return { bytes: Buffer.concat(chunks), isComplete: false };
  }
  return { bytes: Buffer.concat(chunks), isComplete: true };
};
