/** Finds the identities under which a request may run once. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { hashParts, type Identity } from '../online/OnlineRequest.js';

/** Longest Idempotency-Key. Unit: characters. */
const MAX_KEY_LENGTH = 255;

/** What identities are taken from. */
export interface IdentitySource {
  /** Name of the account; empty on open routes. */
  readonly account: string;
  /** Path without query. */
  readonly path: string;
  /** The parsed body; undefined when it is not JSON. */
  readonly json: unknown;
  /** JSON pointer that the route declares. */
  readonly identityField?: string | undefined;
  /** Value of the Idempotency-Key header. */
  readonly idempotencyKey?: string | undefined;
}

/** Follows a JSON pointer (RFC 6901). */
const resolveJsonPointer = (json: unknown, pointer: string): unknown =>
  pointer
    .slice(1)
    .split('/')
    .map((part) => part.replaceAll('~1', '/').replaceAll('~0', '~'))
    .reduce<unknown>((value, name) => {
      if (typeof value !== 'object' || value === null) return undefined;
      return Object.hasOwn(value, name) ? (value as Record<string, unknown>)[name] : undefined;
    }, json);

const findFieldIdentity = (source: IdentitySource): Result<Identity[], Refusal> => {
  const { account, path, json, identityField } = source;
  if (identityField === undefined) return ok([]);
  const value = resolveJsonPointer(json, identityField);
  if (value === undefined || value === null) return ok([]);
  const isName = (typeof value === 'string' && value !== '') || typeof value === 'number';
  if (!isName) {
    const detail = `${identityField} must be a non-empty string or a number.`;
    return err(refuse('body-invalid', { detail }));
  }
  // A number and its text are the same identity: reissued requests are often written by hand.
  return ok([{ kind: 'field', hash: hashParts('field', account, path, String(value)) }]);
};

const findHeaderIdentity = ({
  account,
  idempotencyKey,
}: IdentitySource): Result<Identity[], Refusal> => {
  if (idempotencyKey === undefined || idempotencyKey === '') return ok([]);
  if (idempotencyKey.length > MAX_KEY_LENGTH) {
    const detail = `Idempotency-Key is longer than ${MAX_KEY_LENGTH} characters.`;
    return err(refuse('body-invalid', { detail }));
  }
  return ok([{ kind: 'header', hash: hashParts('header', account, idempotencyKey) }]);
};

/**
 * Finds the identities of a request.
 *
 * @param source - parts of the request
 * @returns none, one or both of field and header; `body-invalid` when one cannot identify anything
 */
export const findIdentities = (source: IdentitySource): Result<readonly Identity[], Refusal> =>
  findFieldIdentity(source).andThen((field) =>
    findHeaderIdentity(source).map((header) => [...field, ...header]),
  );
