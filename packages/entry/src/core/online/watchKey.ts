/** Gives up requests that run while their key is withdrawn. */
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import type { OnlineRequest } from './OnlineRequest.js';

/** Time between two checks. Unit: ms. */
const CHECK_INTERVAL_MS = 250;

/**
 * Time for which an unconfirmed configuration is borne by a running request; the mode is lost only after 3 s
 * without proof already. Unit: ms.
 */
const MAX_UNCONFIRMED_MS = 1000;

/**
 * Watches a running request.
 *
 * @param request - the request
 * @param controller - aborted when the key is no longer granted, or nobody can tell for too long
 * @returns a function that ends the watch
 */
export const watchKey = (request: OnlineRequest, controller: AbortController): (() => void) => {
  let unconfirmedUntil: number | undefined;
  const check = () => {
    const confirmed = request.confirm();
    if (confirmed.isOk()) {
      unconfirmedUntil = undefined;
      return;
    }
    const { code } = confirmed.error;
    const now = performance.now();
    unconfirmedUntil ??= now + MAX_UNCONFIRMED_MS;
    if (code === 'configuration-unconfirmed' && now < unconfirmedUntil) return;
    controller.abort(new Abandoned({ kind: 'not-allowed', code }));
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
};
