/** Maps the key of a request to its client account. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  ResolvedConfiguration,
  GrantedKey,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { RequestCredentials } from './credentials.js';

/**
 * Finds the granted key of a request.
 *
 * @param catalogue - configuration in force
 * @param credentials - credentials of the request
 * @returns the key, or `key-missing` or `key-unknown`
 */
export const authenticate = (
  catalogue: ResolvedConfiguration,
  credentials: RequestCredentials,
): Result<GrantedKey, Refusal> => {
  const [key, another] = credentials.keys;
  if (key === undefined) return err(refuse('key-missing'));
  if (another !== undefined) {
    return err(refuse('key-unknown', { detail: 'The request shows two different keys.' }));
  }
  const granted = catalogue.findKey(key);
  return granted ? ok(granted) : err(refuse('key-unknown'));
};
