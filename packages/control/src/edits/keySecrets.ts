/** Derives the identifiers and secrets of keys that operators grant. */
import { createHmac } from 'node:crypto';

/** Length of a key id. Unit: hexadecimal digits. */
const ID_LENGTH = 16;

/** Length of the secret part of a key: 160 bits. Unit: hexadecimal digits. */
const SECRET_LENGTH = 40;

/** Values from which a key is derived. */
export interface KeyOrigin {
  readonly account: string;
  /** Idempotency token of the operator's request. */
  readonly token: string;
}

/** A key as it is returned to the operator. */
export interface KeySecret {
  readonly id: string;
  /** The complete key, `jl_<id>_<secret>`. */
  readonly secret: string;
}

const derive = (credential: string, purpose: string, { account, token }: KeyOrigin): string =>
  createHmac('sha256', credential)
    .update(JSON.stringify([purpose, account, token]))
    .digest('hex');

/**
 * Derives a key. A request that is repeated with the same token after a lost response gets the same key
 * from every entry host, although the secret itself is not stored. Without the credential, the token
 * reveals nothing about the secret.
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
