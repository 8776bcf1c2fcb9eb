/** Reads and parses request bodies. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { beginHeldReading } from '@jacinthlug/control/bodies/beginHeldReading';
import type { HeldBody } from '@jacinthlug/control/bodies/HeldBody';
import { err, ok, type Result } from 'neverthrow';
import type { Exchange } from './Exchange.js';

/** How a body is read. */
export interface BodyOptions {
  /** Maximum size of the body. Unit: bytes. */
  readonly limitBytes: number;
  /** Name of the client account; undefined without one. */
  readonly account?: string | undefined;
}

/** A body and its memory, which is released with the end of the response. */
export interface ReceivedBody {
  readonly content: Buffer<ArrayBuffer>;
  readonly held: HeldBody;
}

/**
 * Reads the complete body of a request. The connection is closed if the body is incomplete at the deadline.
 *
 * @param exchange - exchange with the caller
 * @param options - limits
 * @returns the body; `body-too-large`, `bodies-over-memory`, or `body-invalid` if it is truncated or compressed
 */
export const readBody = async (
  { request, response, bodies, deadline }: Exchange,
  { limitBytes, account }: BodyOptions,
): Promise<Result<ReceivedBody, Refusal>> => {
  // Keys and identities in a compressed body would not be found.
  const encoding = request.headers['content-encoding'];
  if (encoding !== undefined && encoding !== 'identity') {
    return err(refuse('body-invalid', { detail: 'Compressed bodies are not accepted.' }));
  }
  const timer = setTimeout(() => request.destroy(), Math.max(0, deadline - performance.now()));
  const { body, held } = beginHeldReading(request, { limitBytes, bodies, account, response });
  const read = await body;
  clearTimeout(timer);
  if (read.isOk() && read.value) return ok({ content: read.value, held });
  held.release();
  return err(
    read.isErr() ? read.error : refuse('body-invalid', { detail: 'The body is truncated.' }),
  );
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
