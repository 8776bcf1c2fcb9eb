/** Reads the body of a forwarded request. */
import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import {
  beginHeldReading,
  type HeldReadingOptions,
} from '@jacinthlug/control/bodies/beginHeldReading';
import type { Result } from 'neverthrow';

/**
 * Maximum body size, to protect the agent; the entry host enforces the limit of the route.
 * Unit: bytes.
 */
const MAX_BODY_BYTES = 64 * 1024 * 1024;

/**
 * Reads a body into memory, which is released with the end of the response.
 *
 * @param request - request of the entry host
 * @param options - memory for bodies, account, response, and signal that ends reading
 * @returns the body, undefined if the connection fails or the signal is aborted before its end, `body-too-large` or
 * `bodies-over-memory`
 */
export const readBody = async (
  request: IncomingMessage,
  options: Pick<HeldReadingOptions, 'bodies' | 'account' | 'response' | 'signal'>,
): Promise<Result<Buffer | undefined, Refusal>> => {
  const { body, held } = beginHeldReading(request, { ...options, limitBytes: MAX_BODY_BYTES });
  const read = await body;
  if (read.isErr() || !read.value) held.release();
  return read;
};
