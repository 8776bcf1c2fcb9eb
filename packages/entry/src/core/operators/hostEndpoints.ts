/** Operators' endpoints on hosts and on the state of the answering host. */
import { drainHost } from '@jacinthlug/control/edits/contentChanges';
import { err } from 'neverthrow';
import * as z from 'zod';
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { OPERATOR } from './configurationEndpoints.js';
import { readBody, sendJson } from './json.js';
import type { OperatorDeps } from './OperatorDeps.js';

const drainBody = z.strictObject({ drained: z.boolean(), token: z.string().min(1).max(200) });

const list =
  ({ membership }: OperatorDeps): OperatorHandler =>
  (exchange) =>
    Promise.resolve(sendJson(exchange, { hosts: membership.all() }));

const drain =
  ({ editor }: OperatorDeps): OperatorHandler =>
  async (exchange) => {
    const body = await readBody(exchange, drainBody);
    if (body.isErr()) return err(body.error);
    const { drained, token } = body.value;
    // Not checked against the host list: it lags, and a host may be drained before it is listed.
    const name = exchange.request.params.name ?? '';
    const version = await editor.change({
      apply: (content) => drainHost(content, name, drained),
      author: OPERATOR,
      note: `host ${name} ${drained ? 'drained' : 'no longer drained'}`,
      token: `drain ${name} ${drained} ${token}`,
    });
    return version.andThen((accepted) => sendJson(exchange, { version: accepted }));
  };

const status =
  ({ name, follower, membership, metrics }: OperatorDeps): OperatorHandler =>
  (exchange) =>
    Promise.resolve(
      sendJson(exchange, {
        name,
        mode: follower.mode(),
        version: follower.latest()?.version ?? 0,
        members: membership.all().length,
        counters: metrics.totals(),
      }),
    );

/**
 * Creates the endpoints on hosts.
 *
 * @param deps - editor, follower and members
 * @returns the endpoints
 */
export const createHostEndpoints = (deps: OperatorDeps): Endpoint<OperatorHandler>[] => [
  { method: 'GET', path: '/operator/v1/hosts', handle: list(deps) },
  { method: 'POST', path: '/operator/v1/hosts/:name/drain', handle: drain(deps) },
  { method: 'GET', path: '/operator/v1/status', handle: status(deps) },
];
