/** Identifiers and secrets of keys that operators grant. */
import { createHmac } from 'node:crypto';

/** Characters of a key id. */
const ID_LENGTH = 16;

/** Characters of a secret: 160 bits. */
const SECRET_LENGTH = 40;

/** What a key is derived from. */
export interface KeyOrigin {
  readonly account: string;
  /** Token of the operator's request. */
  readonly token: string;
}

/** A key as it is told to the operator once. */
export interface KeySecret {
  readonly id: string;
  /** The whole key, `jl_<id>_<secret>`. */
  readonly secret: string;
}

const derive = (credential: string, purpose: string, { account, token }: KeyOrigin): string =>
  createHmac('sha256', credential)
    .update(JSON.stringify([purpose, account, token]))
    .digest('hex');

/**
 * Derives a key. A request that is repeated with the same token after a lost answer gets the same
 * key on every entry host, although the secret itself is stored nowhere. Who lacks the credential
 * learns nothing about the secret from the token.
 *
 * @param credential - fleet credential, known to every entry host
 * @param origin - account and token of the request
 * @returns the key
 */
export const deriveKey = (credential: string, origin: KeyOrigin): KeySecret => {
  const id = derive(credential, 'key id', origin).slice(0, ID_LENGTH);
  const secret = derive(credential, 'key secret', origin).slice(0, SECRET_LENGTH);
  return { id, secret: `jl_${id}_${secret}` };
};
