/** Operator endpoints for hosts and for the status of the host that responds. */
import { drainHost } from '@jacinthlug/control/edits/contentChanges';
import { err } from 'neverthrow';
import * as z from 'zod';
import type { Endpoint, OperatorHandler } from '../http/Exchange.js';
import { OPERATOR_AUTHOR } from './configurationEndpoints.js';
import { readJsonBody, sendJson } from './json.js';
import type { OperatorDependencies } from './OperatorDependencies.js';

const drainBody = z.strictObject({ drained: z.boolean(), token: z.string().min(1).max(200) });

const listHosts =
  ({ membership }: OperatorDependencies): OperatorHandler =>
  (exchange) =>
    Promise.resolve(sendJson(exchange, { hosts: membership.all() }));

const setDrained =
  ({ editor }: OperatorDependencies): OperatorHandler =>
  async (exchange) => {
    const body = await readJsonBody(exchange, drainBody);
    if (body.isErr()) return err(body.error);
    const { drained, token } = body.value;
    // Not checked against the host list, which lags: a host may be drained before it is listed.
    const name = exchange.request.params.name ?? '';
    const version = await editor.change({
      apply: (content) => drainHost(content, name, drained),
      author: OPERATOR_AUTHOR,
      note: `host ${name} ${drained ? 'drained' : 'no longer drained'}`,
      token: `drain ${name} ${drained} ${token}`,
    });
    return version.andThen((accepted) => sendJson(exchange, { version: accepted }));
  };

const showStatus =
  ({ name, follower, membership, metrics }: OperatorDependencies): OperatorHandler =>
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
 * Creates the operator endpoints for hosts.
 *
 * @param dependencies - editor, follower, membership and metrics
 * @returns the endpoints
 */
export const createHostEndpoints = (
  dependencies: OperatorDependencies,
): Endpoint<OperatorHandler>[] => [
  { method: 'GET', path: '/operator/v1/hosts', handle: listHosts(dependencies) },
  { method: 'POST', path: '/operator/v1/hosts/:name/drain', handle: setDrained(dependencies) },
  { method: 'GET', path: '/operator/v1/status', handle: showStatus(dependencies) },
];
