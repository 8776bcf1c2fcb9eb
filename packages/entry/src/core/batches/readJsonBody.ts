/** Reads the JSON bodies of the batch endpoints. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Exchange } from '../http/Exchange.js';
import { readBody } from '../http/readBody.js';

/** Maximum size of a JSON body of the batch endpoints. Unit: bytes. */
const MAX_JSON_BYTES = 65_536;

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
 * @param exchange - exchange with the caller
 * @param account - name of the client account
 * @param schema - schema of the body
 * @returns the typed body, or the refusal
 */
export const readJsonBody = async <Schema extends z.ZodType>(
  exchange: Exchange,
  account: string,
  schema: Schema,
): Promise<Result<z.output<Schema>, Refusal>> => {
  const body = await readBody(exchange, { limitBytes: MAX_JSON_BYTES, account });
  if (body.isErr()) return err(body.error);
  const parsed = schema.safeParse(parseJson(body.value.content.toString('utf8')));
  if (parsed.success) return ok(parsed.data);
  const detail = parsed.error.issues
    .map(({ path, message }) => `${path.join('.')}: ${message}`)
    .join('; ');
  return err(refuse('body-invalid', { detail }));
};
