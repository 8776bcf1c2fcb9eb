/** Gives running requests up: at their deadline, without their caller, without their key. */
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import type { OnlineRequest } from './OnlineRequest.js';
import { watchKey } from './watchKey.js';

/**
 * Supervises a running request.
 *
 * @param request - the request
 * @param callerGone - aborted when the caller goes away
 * @param isClaimed - whether the request holds a claim
 * @param controller - aborted with {@link Abandoned} when the request is given up
 * @returns a function that ends the supervision
 */
export const superviseRequest = (
  request: OnlineRequest,
  callerGone: AbortSignal,
  isClaimed: boolean,
  controller: AbortController,
): (() => void) => {
  const atDeadline = () => controller.abort(new Abandoned({ kind: 'deadline' }));
  const timer = setTimeout(atDeadline, Math.max(0, request.deadline - performance.now()));
  // A claimed request that may run once goes on without its caller: a cancel would leave its outcome unknown
  // to all resends, while its answer can be recorded for them.
  if (isClaimed && !request.repeatable) return () => clearTimeout(timer);
  const onGone = () => controller.abort(new Abandoned({ kind: 'caller-gone' }));
  callerGone.addEventListener('abort', onGone);
  if (callerGone.aborted) onGone();
  // The outcome of a request that may run once is worth more than an early end; its streams are watched.
  const endWatch = request.repeatable ? watchKey(request, controller) : () => undefined;
  return () => {
    clearTimeout(timer);
    callerGone.removeEventListener('abort', onGone);
    endWatch();
  };
};
