/** Determines the identities of a request, each of which may run at most once. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { hashParts, type Identity } from '../online/OnlineRequest.js';

/** Unit: characters. */
const MAX_KEY_LENGTH = 255;

/** Parts of a request that determine its identities. */
export interface IdentitySource {
  /** Name of the client account; empty on open routes. */
  readonly account: string;
  /** Path without query. */
  readonly path: string;
  /** The parsed body; undefined when it is not JSON. */
  readonly json: unknown;
  /** JSON pointer to the identity field, declared by the route. */
  readonly identityField?: string | undefined;
  /** Value of the Idempotency-Key header. */
  readonly idempotencyKey?: string | undefined;
}

/** Resolves a JSON pointer (RFC 6901). */
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
  const isValid = (typeof value === 'string' && value !== '') || typeof value === 'number';
  if (!isValid) {
    const detail = `${identityField} must be a non-empty string or a number.`;
    return err(refuse('body-invalid', { detail }));
  }
  // A number and its text are the same identity, since repeated requests are often written by hand.
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
 * Determines the identities of a request.
 *
 * @param source - parts of the request
 * @returns identities from the field and the header, if present; `body-invalid` if one is not a valid
 * identity
 */
export const findIdentities = (source: IdentitySource): Result<readonly Identity[], Refusal> =>
  findFieldIdentity(source).andThen((field) =>
    findHeaderIdentity(source).map((header) => [...field, ...header]),
  );
