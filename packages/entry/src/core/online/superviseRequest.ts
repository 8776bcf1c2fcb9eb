/** Aborts running requests at their deadline, when their caller disconnects or when their key is withdrawn. */
import { Abandoned } from '../forwarding/AttemptOutcome.js';
import type { OnlineRequest } from './OnlineRequest.js';
import { watchKey } from './watchKey.js';

/**
 * Supervises a running request until it ends.
 *
 * @param request - the request
 * @param callerGone - aborted when the caller disconnects
 * @param isClaimed - whether the request holds a claim
 * @param controller - is aborted with {@link Abandoned} to abort the request
 * @returns a function that stops the supervision
 */
export const superviseRequest = (
  request: OnlineRequest,
  callerGone: AbortSignal,
  isClaimed: boolean,
  controller: AbortController,
): (() => void) => {
  const onDeadline = () => controller.abort(new Abandoned({ kind: 'deadline' }));
  const timer = setTimeout(onDeadline, Math.max(0, request.deadline - performance.now()));
  // A claimed request that may run only once continues without its caller: cancelling it would leave the
  // outcome unknown to all resends, whereas its response can be recorded for them.
  if (isClaimed && !request.repeatable) return () => clearTimeout(timer);
  const onGone = () => controller.abort(new Abandoned({ kind: 'caller-gone' }));
  callerGone.addEventListener('abort', onGone);
  if (callerGone.aborted) onGone();
  // A withdrawn key does not abort a request that may run only once, because its outcome matters more than an
  // early end. The key is watched while the response is streamed.
  const stopWatching = request.repeatable ? watchKey(request, controller) : () => undefined;
  return () => {
    clearTimeout(timer);
    callerGone.removeEventListener('abort', onGone);
    stopWatching();
  };
};
