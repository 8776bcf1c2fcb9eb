/** Reads and parses request bodies. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

const refuseTooLarge = (limitBytes: number): Result<Buffer, Refusal> =>
  err(refuse('body-too-large', { detail: `The limit is ${limitBytes} bytes.` }));

/**
 * Reads the complete body of a request, up to a maximum size.
 *
 * @param request - the request
 * @param limitBytes - maximum size of the body. Unit: bytes
 * @param deadline - monotonic time at which the connection is closed if the body is still incomplete. Unit: ms
 * @returns the body; `body-too-large`, or `body-invalid` if it is truncated or compressed
 */
export const readBody = async (
  request: IncomingMessage,
  limitBytes: number,
  deadline: number,
): Promise<Result<Buffer, Refusal>> => {
  // Keys and identities in a compressed body would not be found.
  const encoding = request.headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    return err(refuse('body-invalid', { detail: 'Compressed bodies are not accepted.' }));
  }
  if (Number(request.headers['content-length'] ?? 0) > limitBytes)
    return refuseTooLarge(limitBytes);
  const timer = setTimeout(() => request.destroy(), Math.max(0, deadline - performance.now()));
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  try {
    // The connection must stay open when the loop ends early: the refusal is written to it.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      sizeBytes += (chunk as Buffer).length;
      if (sizeBytes > limitBytes) return refuseTooLarge(limitBytes);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err(refuse('body-invalid', { detail: 'The body is truncated.' }));
  } finally {
    clearTimeout(timer);
  }
  return ok(Buffer.concat(chunks));
};

/**
 * Parses a JSON body.
 *
 * @param body - the body
 * @returns the value, or `body-invalid`
 */
export const parseJsonBody = (body: Buffer): Result<unknown, Refusal> => {
  try {
    return ok(JSON.parse(body.toString('utf8')) as unknown);
  } catch (error) {
    return err(
      refuse('body-invalid', { detail: `The body is not valid JSON: ${(error as Error).message}` }),
    );
  }
};
