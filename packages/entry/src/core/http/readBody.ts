/** Reads request bodies up to a limit. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

const refuseTooLarge = (limitBytes: number): Result<Buffer, Refusal> =>
  err(refuse('body-too-large', { detail: `The limit is ${limitBytes} bytes.` }));

/**
 * Reads the body of a request whole.
 *
 * @param request - the request
 * @param limitBytes - largest body that is read. Unit: bytes
 * @param deadline - monotonic time at which the connection of a body that is not whole is cut. Unit: ms
 * @returns the body; `body-too-large`, or `body-invalid` when it was cut or is compressed
 */
export const readBody = async (
  request: IncomingMessage,
  limitBytes: number,
  deadline: number,
): Promise<Result<Buffer, Refusal>> => {
  // Keys and identities could hide in a compressed body.
  const encoding = request.headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    return err(refuse('body-invalid', { detail: 'Compressed bodies are not taken.' }));
  }
  if (Number(request.headers['content-length'] ?? 0) > limitBytes)
    return refuseTooLarge(limitBytes);
  const timer = setTimeout(() => request.destroy(), Math.max(0, deadline - performance.now()));
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    // Leaving the loop must not destroy the connection: the refusal is still to be written to it.
    for await (const chunk of request.iterator({ destroyOnReturn: false })) {
      size += (chunk as Buffer).length;
      if (size > limitBytes) return refuseTooLarge(limitBytes);
      chunks.push(chunk as Buffer);
    }
  } catch {
    return err(refuse('body-invalid', { detail: 'The body was cut.' }));
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
  } catch (fault) {
    return err(refuse('body-invalid', { detail: `It is not JSON: ${(fault as Error).message}` }));
  }
};
