/** Authenticates requests by their key. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type {
  ResolvedConfiguration,
  GrantedKey,
} from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { RequestCredentials } from './credentials.js';

/**
 * Finds the granted key, and so the client account, of a request.
 *
 * @param configuration - configuration in force
 * @param credentials - credentials of the request
 * @returns the key, or `key-missing` or `key-unknown`
 */
export const authenticate = (
  configuration: ResolvedConfiguration,
  credentials: RequestCredentials,
): Result<GrantedKey, Refusal> => {
  const [key, secondKey] = credentials.keys;
  if (key === undefined) return err(refuse('key-missing'));
  if (secondKey !== undefined) {
    return err(refuse('key-unknown', { detail: 'The request contains two different keys.' }));
  }
  const granted = configuration.findKey(key);
  return granted ? ok(granted) : err(refuse('key-unknown'));
};
