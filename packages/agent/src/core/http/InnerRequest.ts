/** Parses a forwarded request from the headers of the data path. */
import type { IncomingHttpHeaders } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const nonEmptyText = z.string().min(1);
const wholeNumber = z.coerce.number().pipe(z.int().nonnegative());
const booleanText = z.enum(['true', 'false']).default('false');

const innerRequest = z.object({
  id: nonEmptyText,
  account: nonEmptyText.optional(),
  key: nonEmptyText.optional(),
  service: nonEmptyText,
  route: nonEmptyText,
  repeatable: booleanText.transform((value) => value === 'true'),
  version: wholeNumber.default(0),
  shard: wholeNumber.optional(),
  generation: wholeNumber.optional(),
  remainingMs: wholeNumber,
  waitLimitMs: wholeNumber,
  fingerprint: nonEmptyText,
  suspect: booleanText.transform((value) => value === 'true'),
  method: z.string().regex(/^[A-Z]+$/),
  path: z.string().startsWith('/'),
});

/** A forwarded request, with deadlines by the monotonic clock of this process. */
export interface InnerRequest extends Omit<
  z.infer<typeof innerRequest>,
  'remainingMs' | 'waitLimitMs'
> {
  /** Time by which the response must be complete. Unit: ms. */
  readonly deadline: number;
  /** Time until which the request may wait for the target. Unit: ms. */
  readonly waitDeadline: number;
}

/**
 * Parses the headers of a forwarded request.
 *
 * @param headers - received headers
 * @returns the request, or a refusal that names the invalid header
 */
export const parseInnerRequest = (headers: IncomingHttpHeaders): Result<InnerRequest, Refusal> => {
  const { request: id, ...names } = innerHeaders;
  const fields = Object.entries({ id, ...names }).map(([field, name]) => [field, headers[name]]);
  const parsed = innerRequest.safeParse(Object.fromEntries(fields));
  if (!parsed.success) {
    const field = parsed.error.issues[0]?.path.join('.');
    return err(
      refuse('internal-fault', { run: 'not run', detail: `Invalid inner header: ${field}.` }),
    );
  }
  const { remainingMs, waitLimitMs, ...request } = parsed.data;
  const now = performance.now();
  return ok({
    ...request,
    deadline: now + remainingMs,
    waitDeadline: now + Math.min(waitLimitMs, remainingMs),
  });
};
