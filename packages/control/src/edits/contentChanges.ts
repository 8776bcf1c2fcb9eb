/** Changes of keys and drained hosts, applied to the content in force. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { getNodeName } from '@jacinthlug/settings/tree/checkStructure';
import { hashKey } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import type { ConfigurationContent, Key } from '@jacinthlug/settings/tree/configuration';
import { err, ok, type Result } from 'neverthrow';
import type { KeySecret } from './keySecrets.js';

/** Result of applying a change to the content in force. */
export type ChangedContent = Result<ConfigurationContent | 'unchanged', Refusal>;

const withKey = (content: ConfigurationContent, id: string, key: Key): ConfigurationContent => ({
  ...content,
  keys: { ...content.keys, [id]: key },
});

const isDeclared = ({ declarations }: ConfigurationContent, account: string): boolean =>
  Object.entries(declarations.nodes).some(
    ([path, { kind }]) => kind === 'account' && getNodeName(path) === account,
  );

/**
 * Grants a key.
 *
 * @param content - content in force
 * @param account - client account of the key
 * @param key - the derived key
 * @param now - wall-clock time. Unit: ms since 1970
 * @returns the new content; `unchanged` when the key has been granted already
 */
export const grantKey = (
  content: ConfigurationContent,
  account: string,
  { id, secret }: KeySecret,
  now: number,
): ChangedContent => {
  const sha256 = hashKey(secret);
  const known = content.keys[id];
  if (known) {
    const isGranted = known.state === 'granted' && known.sha256 === sha256;
    return isGranted
      ? ok('unchanged')
      : err(refuse('identity-reused', { detail: 'The token has been used for another key.' }));
  }
  if (!isDeclared(content, account)) {
    return err(refuse('not-found', { detail: `account "${account}"` }));
  }
  return ok(
    withKey(content, id, { account, sha256, state: 'granted', changedAt: now, settings: {} }),
  );
};

/**
 * Withdraws a key. The key stays in the content, so that its id is never granted again.
 *
 * @param content - content in force
 * @param id - key id
 * @param now - wall-clock time. Unit: ms since 1970
 * @returns the new content; `unchanged` when the key has been withdrawn already
 */
export const withdrawKey = (
  content: ConfigurationContent,
  id: string,
  now: number,
): ChangedContent => {
  const known = new Map(Object.entries(content.keys)).get(id);
  if (!known) return err(refuse('not-found', { detail: `key "${id}"` }));
  if (known.state === 'withdrawn') return ok('unchanged');
  return ok(withKey(content, id, { ...known, state: 'withdrawn', changedAt: now }));
};

/**
 * Starts or ends the draining of a host.
 *
 * @param content - content in force
 * @param host - name of the host
 * @param drained - whether the target of the host gets no new work
 * @returns the new content; `unchanged` when the host is in this state already
 */
export const drainHost = (
  content: ConfigurationContent,
  host: string,
  drained: boolean,
): ChangedContent => {
  if (content.drainedHosts.includes(host) === drained) return ok('unchanged');
  const others = content.drainedHosts.filter((name) => name !== host);
  return ok({ ...content, drainedHosts: drained ? [...others, host].sort() : others });
};
