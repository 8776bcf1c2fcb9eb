/** Operator endpoints for callers' keys. */
import { grantKey, withdrawKey } from '@jacinthlug/control/edits/contentChanges';
import { deriveKey } from '@jacinthlug/control/edits/keySecrets';
import { err } from 'neverthrow';
import * as z from 'zod';
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { OPERATOR_AUTHOR } from './configurationEndpoints.js';
import { readJsonBody, sendJson } from './json.js';
import type { OperatorDependencies } from './OperatorDependencies.js';

const token = z.string().min(1).max(200);

const grantBody = z.strictObject({ account: z.string().min(1), token });

const withdrawBody = z.strictObject({ token });

const grant =
  ({ editor, fleetCredential, wallNow = Date.now }: OperatorDependencies): OperatorHandler =>
  async (exchange) => {
    const body = await readJsonBody(exchange, grantBody);
    if (body.isErr()) return err(body.error);
    const { account } = body.value;
    const key = deriveKey(fleetCredential, body.value);
    const version = await editor.change({
      apply: (content) => grantKey(content, account, key, wallNow()),
      author: OPERATOR_AUTHOR,
      note: `key ${key.id} granted to ${account}`,
      token: `grant ${body.value.token}`,
    });
    return version.andThen((accepted) =>
      sendJson(exchange, { id: key.id, secret: key.secret, account, version: accepted }),
    );
  };

const withdraw =
  ({ editor, wallNow = Date.now }: OperatorDependencies): OperatorHandler =>
  async (exchange) => {
    const body = await readJsonBody(exchange, withdrawBody);
    if (body.isErr()) return err(body.error);
    const id = exchange.request.params.id ?? '';
    const version = await editor.change({
      apply: (content) => withdrawKey(content, id, wallNow()),
      author: OPERATOR_AUTHOR,
      note: `key ${id} withdrawn`,
      token: `withdraw ${id} ${body.value.token}`,
    });
    return version.andThen((accepted) => sendJson(exchange, { version: accepted }));
  };

const listKeys =
  ({ follower }: OperatorDependencies): OperatorHandler =>
  (exchange) =>
    Promise.resolve(
      follower.inForce().andThen(({ configuration }) => {
        const keys = Object.entries(configuration.content.keys).map(
          ([id, { account, state, changedAt }]) => ({ id, account, state, changedAt }),
        );
        return sendJson(exchange, { keys });
      }),
    );

/**
 * Creates the operator endpoints for keys.
 *
 * @param dependencies - editor, follower, credential and clock
 * @returns the endpoints
 */
export const createKeyEndpoints = (
  dependencies: OperatorDependencies,
): Endpoint<OperatorHandler>[] => [
  { method: 'GET', path: '/operator/v1/keys', handle: listKeys(dependencies) },
  { method: 'POST', path: '/operator/v1/keys', handle: grant(dependencies) },
  { method: 'POST', path: '/operator/v1/keys/:id/withdraw', handle: withdraw(dependencies) },
];
