/** Reads the body of a forwarded request. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

/**
 * Maximum body size, to protect the agent; the entry host enforces the limit of the route.
 * Unit: bytes.
 */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Reads a body into memory.
 *
 * @param request - request of the entry host
 * @returns the body, or `body-too-large`
 * @throws the error of the request stream when the connection fails
 */
export const readBody = async (request: IncomingMessage): Promise<Result<Buffer, Refusal>> => {
  const chunks: Buffer[] = [];
  let length = 0;
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    chunks.push(chunk as Buffer);
    length += (chunk as Buffer).length;
    if (length > MAX_BODY_BYTES) return err(refuse('body-too-large'));
  }
  return ok(Buffer.concat(chunks));
};
