/** Second check of a forwarded request, against the agent's own configuration. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { ConfigurationFollower } from '@jacinthlug/control/ConfigurationFollower';
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { InnerRequest } from '../http/InnerRequest.js';

/** For whom a request runs. */
export interface Grant {
  /** Client account; the route on open routes, so that they share among each other. */
  readonly account: string;
  readonly weight: number;
}

/** Requests of open routes have no account; together they count as one of this weight. */
const OPEN_ROUTE_WEIGHT = 1;

const checkOpenRoute = (
  request: InnerRequest,
  catalogue: ResolvedConfiguration,
): Result<Grant, Refusal> => {
  const route = catalogue.routes.find(({ name }) => name === request.route);
  if (!route?.open) return err(refuse('key-missing'));
  return ok({ account: `open:${route.name}`, weight: OPEN_ROUTE_WEIGHT });
};

const checkKey = (
  request: InnerRequest,
  keyId: string,
  catalogue: ResolvedConfiguration,
): Result<Grant, Refusal> => {
  const key = catalogue.findKeyById(keyId);
  if (!key) return err(refuse('key-unknown'));
  if (key.account.name !== request.account) return err(refuse('account-mismatch'));
  return ok({ account: key.account.name, weight: key.account.settings.weight });
};

/**
 * Checks the key or the open route of a request against a version.
 *
 * @param request - forwarded request
 * @param catalogue - version to check against
 * @returns for whom it runs, or why it may not
 */
export const authorizeWithConfiguration = (
  request: InnerRequest,
  catalogue: ResolvedConfiguration,
): Result<Grant, Refusal> =>
  request.key === undefined
    ? checkOpenRoute(request, catalogue)
    : checkKey(request, request.key, catalogue);

const waitForVersion = async (
  follower: ConfigurationFollower,
  version: number,
  deadline: number,
): Promise<void> => {
  if ((follower.latest()?.version ?? 0) >= version) return;
  let stop: () => void = () => undefined;
  let timer: NodeJS.Timeout | undefined;
  await new Promise<void>((resolve) => {
    stop = follower.onAdopt((catalogue) => {
      if (catalogue.version >= version) resolve();
    });
    timer = setTimeout(resolve, Math.max(0, deadline - performance.now()));
  });
  stop();
  clearTimeout(timer);
};

/**
 * Checks a request against the configuration in force. When the sender holds a higher version and
 * the check fails, waits for that version: the key may have been granted in it.
 *
 * @param request - forwarded request
 * @param follower - configuration of this process
 * @returns for whom it runs, or why it may not
 */
export const authorizeRequest = async (
  request: InnerRequest,
  follower: ConfigurationFollower,
): Promise<Result<Grant, Refusal>> => {
  const check = () =>
    follower.inForce().andThen((catalogue) => authorizeWithConfiguration(request, catalogue));
  const first = check();
  if (first.isOk() || (follower.latest()?.version ?? 0) >= request.version) return first;
  await waitForVersion(follower, request.version, request.waitDeadline);
  if ((follower.latest()?.version ?? 0) < request.version) {
    return err(refuse('configuration-unconfirmed'));
  }
  return check();
};
