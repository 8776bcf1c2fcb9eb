/** Checks that a body carries no key and names no other client account. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  Account,
  ResolvedConfiguration,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import { decodeValidEscapes } from './credentials.js';

/** Top-level fields of a JSON body in which callers name an account. */
const accountFields = ['account', 'client_account', 'organization', 'project'];

/** Decodes the JSON escapes of ASCII characters; the body may be JSON lines or broken JSON. */
const decodeJsonEscapes = (text: string): string =>
  text.replace(/\\u00([0-7][0-9a-f])/gi, (_, hex: string) =>
    String.fromCharCode(Number.parseInt(hex, 16)),
  );

/** Each form in which a target could read the body: as sent, without JSON and percent escapes. */
const listDecodedForms = (body: Buffer): string[] => {
  const text = body.toString('latin1');
  return [
    text,
    ...(text.includes('\\u') ? [decodeJsonEscapes(text)] : []),
    ...(text.includes('%') ? [decodeValidEscapes(text)] : []),
  ];
};

/**
 * Refuses a body that contains a credential of its request.
 *
 * @param body - the body
 * @param secrets - credentials of the request
 * @returns nothing, or `key-in-body`
 */
export const checkBodyHasNoKey = (
  body: Buffer,
  secrets: readonly string[],
): Result<void, Refusal> => {
  if (secrets.length === 0 || body.length === 0) return ok(undefined);
  const found = listDecodedForms(body).some((text) => secrets.some((each) => text.includes(each)));
  return found ? err(refuse('key-in-body')) : ok(undefined);
};

/**
 * Refuses a body that names another declared account. Other values are left to the target, as plain
 * services have fields of these names too.
 *
 * @param json - the parsed body; undefined when it is not JSON
 * @param account - account of the key
 * @param catalogue - configuration in force
 * @returns nothing, or `account-mismatch`
 */
export const checkBodyAccount = (
  json: unknown,
  account: Account,
  catalogue: ResolvedConfiguration,
): Result<void, Refusal> => {
  if (typeof json !== 'object' || json === null) return ok(undefined);
  const fields = json as Record<string, unknown>;
  const named = accountFields.map((field) => fields[field]);
  const other = named.some(
    (value) => typeof value === 'string' && value !== account.name && catalogue.accounts.has(value),
  );
  return other ? err(refuse('account-mismatch')) : ok(undefined);
};
