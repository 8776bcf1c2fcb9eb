/** Client of the operator API, with the calls that the launcher needs. */
import { randomUUID } from 'node:crypto';
import type { Declarations } from '@jacinthlug/settings/tree/declarations';
import * as z from 'zod';

const grantedKey = z.object({ id: z.string(), secret: z.string(), version: z.number() });

/** A granted key with its secret. */
export type GrantedKey = z.infer<typeof grantedKey>;

/** Client of the operator API. */
export interface OperatorClient {
  readonly url: string;
  readonly credential: string;
  applyDeclarations(baseVersion: number, tree: Declarations): Promise<void>;
  grantKey(account: string): Promise<GrantedKey>;
  withdrawKey(id: string): Promise<void>;
}

/**
 * Creates a client of the operator API.
 *
 * @param url - base URL of an entry host
 * @param credential - operator credential
 * @returns the client
 */
export const createOperatorClient = (url: string, credential: string): OperatorClient => {
  const post = async (path: string, body: Record<string, unknown>): Promise<unknown> => {
    const response = await fetch(`${url}/operator/v1${path}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${credential}`, 'content-type': 'application/json' },
      body: JSON.stringify({ token: randomUUID(), ...body }),
    });
    const text = await response.text();
    if (!response.ok) throw new Error(`${path}: ${response.status} ${text}`);
    return JSON.parse(text) as unknown;
  };
  return {
    url,
    credential,
    async applyDeclarations(baseVersion, tree) {
      await post('/configuration', { baseVersion, declarations: tree, note: 'launcher' });
    },
    grantKey: async (account) => grantedKey.parse(await post('/keys', { account })),
    async withdrawKey(id) {
      await post(`/keys/${id}/withdraw`, {});
    },
  };
};
