/** Checks the operator credential. */
import { createHash, timingSafeEqual } from 'node:crypto';
import type { IncomingHttpHeaders } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

/**
 * Refuses a request that does not carry the operator credential.
 *
 * @param headers - headers of the request
 * @param expectedSha256 - SHA-256 of the credential, in hex
 * @returns nothing, or the refusal `operator-credential-wrong`
 */
export const checkOperator = (
  headers: IncomingHttpHeaders,
  expectedSha256: string,
): Result<void, Refusal> => {
  const credential = /^bearer\s+(.+)$/i.exec(headers.authorization ?? '')?.[1] ?? '';
  const digest = createHash('sha256').update(credential).digest();
  const matches = timingSafeEqual(digest, Buffer.from(expectedSha256, 'hex'));
  return matches ? ok(undefined) : err(refuse('operator-credential-wrong'));
};
