/** Checks that a body contains no key and names no other client account. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  Account,
  ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import { decodeValidEscapes } from './credentials.js';

/** Top-level fields of a JSON body that can name an account. */
const accountFields = ['account', 'client_account', 'organization', 'project'];

/** Decodes JSON escapes of ASCII characters; the body may be JSON lines or invalid JSON. */
const decodeJsonEscapes = (text: string): string =>
  text.replace(/\\u00([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );

/** Lists the forms besides the one as sent in which a target could read the body: JSON-unescaped, URL-decoded. */
const listDecodedForms = (body: Buffer): string[] => [
  ...(body.includes('\\u') ? [decodeJsonEscapes(body.toString('latin1'))] : []),
  ...(body.includes('%') ? [decodeValidEscapes(body.toString('latin1'))] : []),
];

/**
 * Refuses a body that contains a credential of its request.
 *
 * @param body - body of the request
 * @param secrets - credentials of the request
 * @returns nothing, or the refusal `key-in-body`
 */
export const checkBodyHasNoKey = (
  body: Buffer,
  secrets: readonly string[],
): Result<void, Refusal> => {
  if (secrets.length === 0 || body.length === 0) return ok(undefined);
  // Without a string of the whole body, which would take as much memory again.
  const containsKey =
    secrets.some((secret) => body.includes(secret, 0, 'latin1')) ||
    listDecodedForms(body).some((text) => secrets.some((secret) => text.includes(secret)));
  return containsKey ? err(refuse('key-in-body')) : ok(undefined);
};

/**
 * Refuses a body that names another declared account. Other values of these fields are allowed, since
 * plain services may use the same field names.
 *
 * @param json - parsed body; undefined if it is not JSON
 * @param account - account of the key
 * @param configuration - configuration in force
 * @returns nothing, or the refusal `account-mismatch`
 */
export const checkBodyAccount = (
  json: unknown,
  account: Account,
  configuration: ResolvedConfiguration,
): Result<void, Refusal> => {
  if (typeof json !== 'object' || json === null) return ok(undefined);
  const fields = json as Record<string, unknown>;
  const names = accountFields.map((field) => fields[field]);
  const namesOther = names.some(
    (value) =>
      typeof value === 'string' && value !== account.name && configuration.accounts.has(value),
  );
  return namesOther ? err(refuse('account-mismatch')) : ok(undefined);
};
