/** Authorizes a forwarded request a second time, against the agent's own configuration. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { InnerRequest } from '../http/InnerRequest.js';

/** The account that a request runs for. */
export interface Grant {
  /** Client account; on open routes the route, so that all its requests share one queue. */
  readonly account: string;
  readonly weight: number;
}

/** Weight of an open route, whose requests have no account and count together as one. */
const OPEN_ROUTE_WEIGHT = 1;

const checkOpenRoute = (
  request: InnerRequest,
  configuration: ResolvedConfiguration,
): Result<Grant, Refusal> => {
  const route = configuration.routes.find(({ name }) => name === request.route);
  if (!route?.open) return err(refuse('key-missing'));
  return ok({ account: `open:${route.name}`, weight: OPEN_ROUTE_WEIGHT });
};

const checkKey = (
  request: InnerRequest,
  keyId: string,
  configuration: ResolvedConfiguration,
): Result<Grant, Refusal> => {
  const key = configuration.findKeyById(keyId);
  if (!key) return err(refuse('key-unknown'));
  if (key.account.name !== request.account) return err(refuse('account-mismatch'));
  return ok({ account: key.account.name, weight: key.account.settings.weight });
};

/**
 * Checks the key or the open route of a request against a configuration.
 *
 * @param request - forwarded request
 * @param configuration - configuration to check against
 * @returns the account, or the refusal
 */
export const authorizeWithConfiguration = (
  request: InnerRequest,
  configuration: ResolvedConfiguration,
): Result<Grant, Refusal> =>
  request.key === undefined
    ? checkOpenRoute(request, configuration)
    : checkKey(request, request.key, configuration);

const waitForVersion = async (
  follower: ConfigurationFollower,
  version: number,
  deadline: number,
): Promise<void> => {
  if ((follower.latest()?.version ?? 0) >= version) return;
  let stop: () => void = () => undefined;
  let timer: NodeJS.Timeout | undefined;
  await new Promise<void>((resolve) => {
    stop = follower.onAdopt((configuration) => {
      if (configuration.version >= version) resolve();
    });
    timer = setTimeout(resolve, Math.max(0, deadline - performance.now()));
  });
  stop();
  clearTimeout(timer);
};

/**
 * Checks a request against the configuration in force. If the check fails and the sender has a
 * higher version, waits for that version, because the key may have been granted in it.
 *
 * @param request - forwarded request
 * @param follower - configuration of this process
 * @returns the account, or the refusal
 */
export const authorizeRequest = async (
  request: InnerRequest,
  follower: ConfigurationFollower,
): Promise<Result<Grant, Refusal>> => {
  const check = () =>
    follower
      .inForce()
      .andThen((configuration) => authorizeWithConfiguration(request, configuration));
  const first = check();
  if (first.isOk() || (follower.latest()?.version ?? 0) >= request.version) return first;
  await waitForVersion(follower, request.version, request.waitDeadline);
  if ((follower.latest()?.version ?? 0) < request.version) {
    return err(refuse('configuration-unconfirmed'));
  }
  return check();
};
