/** Checks a caller's request against the configuration. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Account, Route } from '../configuration/ServingConfiguration.js';
import type { CallerHead } from '../http/Dialect.js';

/** A request that the configuration allows. */
export interface AdmittedCaller {
  readonly route: Route;
  /** Absent on open routes. */
  readonly account: Account | undefined;
}

/** Refuses an unknown route or key. An outdated configuration can't prove that it doesn't exist. */
const refuseUnknown = (view: ConfigurationView, code: 'route-unknown' | 'key-unknown'): Refusal =>
  view.isCurrent ? refuse(code) : refuse('configuration-unconfirmed');

/**
 * Finds the account of a key.
 *
 * @param view - the configuration
 * @param key - key of the caller
 * @returns the account, or a refusal
 */
export const identifyAccount = (
  view: ConfigurationView,
  key: string | undefined,
): Result<Account, Refusal> => {
  const { index } = view;
  if (!index || !view.canTrustKeys) return err(refuse('configuration-unconfirmed'));
  const account = key === undefined ? undefined : index.findAccount(key);
  return account ? ok(account) : err(refuseUnknown(view, 'key-unknown'));
};

/**
 * Finds route and account of a request.
 *
 * @param view - the configuration
 * @param head - head of the request
 * @returns route and account, or a refusal
 */
export const admitCaller = (
  view: ConfigurationView,
  head: CallerHead,
): Result<AdmittedCaller, Refusal> => {
  const { index } = view;
  if (!index) return err(refuse('configuration-unconfirmed'));
  const route = index.findRoute(head.host, head.path);
  if (!route) return err(refuseUnknown(view, 'route-unknown'));
  // Deployments without accounts have no keys.
  if (route.open || index.configuration.accounts.length === 0) {
    return ok({ route, account: undefined });
  }
  return identifyAccount(view, head.key).map((account) => ({ route, account }));
};
