/** Reads and writes the JSON bodies of operator endpoints. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Exchange } from '../http/Exchange.js';
import { readBody } from '../http/readBody.js';

/** Maximum body size of an operator's request: enough for a few thousand declarations. Unit: bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** A mistake in a body and its location. */
export interface BodyMistake {
  /** Property names joined by dots. */
  readonly path: string;
  readonly message: string;
}

const parseJson = (text: string): Result<unknown, Refusal> => {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(refuse('body-invalid', { detail: 'The body is not valid JSON.' }));
  }
};

const listMistakes = (issues: readonly z.core.$ZodIssue[]): BodyMistake[] =>
  issues.map(({ path, message }) => ({ path: path.map(String).join('.'), message }));

/**
 * Reads and validates the JSON body of a request.
 *
 * @param exchange - the exchange
 * @param schema - schema of the body
 * @param code - result code for a body that does not match the schema
 * @returns the parsed body, or a refusal that lists each mistake in its facts
 */
export const readJsonBody = async <Schema extends z.ZodType>(
  exchange: Exchange,
  schema: Schema,
  code: 'body-invalid' | 'configuration-invalid' = 'body-invalid',
): Promise<Result<z.output<Schema>, Refusal>> => {
  const body = await readBody(exchange, { limitBytes: MAX_BODY_BYTES });
  const value = body.andThen(({ content }) => parseJson(content.toString('utf8')));
  if (value.isErr()) return err(value.error);
  const parsed = schema.safeParse(value.value);
  if (parsed.success) return ok(parsed.data);
  const mistakes = listMistakes(parsed.error.issues);
  const [first] = mistakes;
  return err(
    refuse(code, {
      ...(first ? { detail: `${first.path}: ${first.message}` } : {}),
      facts: { mistakes },
    }),
  );
};

/**
 * Writes a JSON response.
 *
 * @param exchange - the exchange
 * @param body - value that is written as JSON
 * @returns success
 */
export const sendJson = ({ response }: Exchange, body: unknown): Result<void, Refusal> => {
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
  return ok(undefined);
};
