/** Reads and writes the JSON of the operators' interface. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { z } from 'zod';
import type { Exchange } from '../http/Exchange.js';

/** Largest body of an operator's request: a tree of a few thousand declarations. Unit: bytes. */
const MAX_BODY_BYTES = 8 * 1024 * 1024;

/** A mistake in a body, with the place where it is. */
export interface BodyMistake {
  /** Property names joined by dots. */
  readonly path: string;
  readonly message: string;
}

const readBodyText = async ({ request }: Exchange): Promise<Result<string, Refusal>> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  try {
    for await (const chunk of request) {
      bytes += (chunk as Buffer).length;
      if (bytes > MAX_BODY_BYTES) return err(refuse('body-too-large'));
      chunks.push(chunk as Buffer);
    }
  } catch (fault) {
    return err(refuse('body-invalid', { detail: fault instanceof Error ? fault.message : '' }));
  }
  return ok(Buffer.concat(chunks).toString('utf8'));
};

const parseJson = (text: string): Result<unknown, Refusal> => {
  try {
    return ok(JSON.parse(text));
  } catch {
    return err(refuse('body-invalid', { detail: 'The body is not JSON.' }));
  }
};

const listMistakes = (issues: readonly z.core.$ZodIssue[]): BodyMistake[] =>
  issues.map(({ path, message }) => ({ path: path.map(String).join('.'), message }));

/**
 * Reads the body of a request.
 *
 * @param exchange - the exchange
 * @param schema - schema of the body
 * @param code - result code when the body does not match
 * @returns the typed body, or a refusal that lists each mistake in its facts
 */
export const readJsonBody = async <Schema extends z.ZodType>(
  exchange: Exchange,
  schema: Schema,
  code: 'body-invalid' | 'configuration-invalid' = 'body-invalid',
): Promise<Result<z.output<Schema>, Refusal>> => {
  const text = await readBodyText(exchange);
  const value = text.andThen(parseJson);
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
 * Answers with JSON.
 *
 * @param exchange - the exchange
 * @param body - what to send
 * @returns success
 */
export const sendJson = ({ response }: Exchange, body: unknown): Result<void, Refusal> => {
  response.writeHead(200, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
  return ok(undefined);
};
