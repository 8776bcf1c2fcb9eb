/** Reads the complete body of a caller's request. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

/**
 * Reads a body.
 *
 * @param message - the request
 * @param limitBytes - maximum body size. Unit: bytes
 * @returns the body, undefined if the caller disconnected before its end, or a refusal
 */
export const readBody = async (
  message: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer | undefined, Refusal>> => {
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    // A message that is destroyed closes its connection, on which the refusal of a large body is sent.
    for await (const chunk of message.iterator({ destroyOnReturn: false })) {
      const part = chunk as Buffer;
      size += part.length;
      if (size > limitBytes) break;
      chunks.push(part);
    }
  } catch {
    // The caller disconnected, so no response is needed.
    return ok(undefined);
  }
  if (size > limitBytes) {
    message.resume();
    return err(refuse('body-too-large', { detail: `The limit is ${limitBytes} bytes.` }));
  }
  return ok(Buffer.concat(chunks, size));
};
