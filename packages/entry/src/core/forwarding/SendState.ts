/** Proves whether any byte of an attempt can have left this host. */
import type { Dispatcher } from 'undici';
import { isBeforeDeadline, type OnlineRequest } from '../online/OnlineRequest.js';
import { Abandoned, type AbortReason } from './AttemptOutcome.js';

const findAbortReason = (request: OnlineRequest): AbortReason | undefined => {
  if (!isBeforeDeadline(request)) return { kind: 'deadline' };
  const confirmed = request.confirm();
  return confirmed.isErr() ? { kind: 'not-allowed', code: confirmed.error.code } : undefined;
};

/** Keeps what is known about the sending of one attempt; passed through undici as `opaque`. */
export class SendState {
  /** Whether any byte may have left this host. */
  sent = false;

  /** @param request - the request that is sent */
  constructor(readonly request: OnlineRequest) {}
}

/**
 * Marks attempts as sent right before undici writes to a connection. Deadline and key are checked there for
 * the last time: the host may have been paused while it waited for the connection.
 */
export const trackSendState: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) => {
    const { opaque: sending } = options as Dispatcher.RequestOptions<SendState>;
    if (!sending) return dispatch(options, handler);
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        const cause = findAbortReason(sending.request);
        if (cause) controller.abort(new Abandoned(cause));
        handler.onRequestStart?.(controller, context);
        if (!controller.aborted) sending.sent = true;
      },
      onRequestUpgrade: (...facts) => handler.onRequestUpgrade?.(...facts),
      onResponseStart: (...facts) => handler.onResponseStart?.(...facts),
      onResponseData: (...facts) => handler.onResponseData?.(...facts),
      onResponseEnd: (...facts) => handler.onResponseEnd?.(...facts),
      onResponseError: (...facts) => handler.onResponseError?.(...facts),
    });
  };
