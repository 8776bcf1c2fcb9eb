/** Reads request bodies with a size limit. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';

/** Maximum size of a JSON body of the batch endpoints. Unit: bytes. */
const MAX_JSON_BYTES = 65_536;

/**
 * Reads a request body.
 *
 * @param request - the request
 * @param maxBytes - maximum size of the body. Unit: bytes
 * @param admit - called for each chunk of the body; refuses the body as `overloaded` by returning false
 * @returns the body, or `body-too-large`, `overloaded`, or `body-invalid` if it is incomplete
 */
export const readRequestBody = async (
  request: IncomingMessage,
  maxBytes: number,
  admit: (bytes: number) => boolean = () => true,
): Promise<Result<Buffer<ArrayBuffer>, Refusal>> => {
  const declared = Number(request.headers['content-length'] ?? 0);
  if (declared > maxBytes) return err(refuse('body-too-large', { detail: `limit ${maxBytes}` }));
  const pieces: Buffer[] = [];
  let length = 0;
  try {
    for await (const piece of request as AsyncIterable<Buffer>) {
      length += piece.length;
      if (length > maxBytes) {
        return err(refuse('body-too-large', { detail: `limit ${maxBytes}` }));
      }
      if (!admit(piece.length)) {
        return err(refuse('overloaded', { detail: 'too many uploads at once' }));
      }
      pieces.push(piece);
    }
  } catch {
    return err(refuse('body-invalid', { detail: 'the body is incomplete' }));
  }
  return ok(Buffer.concat(pieces));
};

const parseJson = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
};

/**
 * Reads and validates a JSON body.
 *
 * @param request - the request
 * @param schema - schema of the body
 * @returns the typed body, or the refusal
 */
export const readJsonBody = async <Schema extends z.ZodType>(
  request: IncomingMessage,
  schema: Schema,
): Promise<Result<z.output<Schema>, Refusal>> => {
  const body = await readRequestBody(request, MAX_JSON_BYTES);
  if (body.isErr()) return err(body.error);
  const parsed = schema.safeParse(parseJson(body.value.toString('utf8')));
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues
    .map(({ path, message }) => `${path.join('.')}: ${message}`)
    .join('; ');
  return err(refuse('body-invalid', { detail }));
};
