/** Aborts running requests whose key is withdrawn. */
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import type { OnlineRequest } from './OnlineRequest.js';

/** Interval between checks. Unit: ms. */
const CHECK_INTERVAL_MS = 250;

/**
 * Maximum time for which a request keeps running while the configuration is unconfirmed. A host reports its
 * configuration as unconfirmed only after 3 s without proof, so this is additional time. Unit: ms.
 */
const MAX_UNCONFIRMED_MS = 1000;

/**
 * Watches a running request.
 *
 * @param request - the request
 * @param controller - is aborted when the request is no longer allowed or the configuration is unconfirmed for
 *   too long
 * @returns a function that stops watching
 */
export const watchKey = (request: OnlineRequest, controller: AbortController): (() => void) => {
  let unconfirmedUntil: number | undefined;
  const check = () => {
    const allowed = request.checkAllowed();
    if (allowed.isOk()) {
      unconfirmedUntil = undefined;
      return;
    }
    const { code } = allowed.error;
    const now = performance.now();
    unconfirmedUntil ??= now + MAX_UNCONFIRMED_MS;
    if (code === 'configuration-unconfirmed' && now < unconfirmedUntil) return;
    controller.abort(new Abandoned({ kind: 'not-allowed', code }));
  };
  const timer = setInterval(check, CHECK_INTERVAL_MS);
  return () => clearInterval(timer);
};
