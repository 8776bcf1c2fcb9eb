/** Tracks whether any byte of an attempt may have left this host. */
import type { Dispatcher } from 'undici';
import { isBeforeDeadline, type OnlineRequest } from '../online/OnlineRequest.js';
import { Abandoned, type AbortReason } from './AttemptOutcome.js';

const findAbortReason = (request: OnlineRequest): AbortReason | undefined => {
  if (!isBeforeDeadline(request)) return { kind: 'deadline' };
  const allowed = request.checkAllowed();
  return allowed.isErr() ? { kind: 'not-allowed', code: allowed.error.code } : undefined;
};

/** Send state of one attempt; passed through undici as `opaque`. */
export class SendState {
  /** Whether any byte may have left this host. */
  sent = false;

  /** @param request - request of the attempt */
  constructor(readonly request: OnlineRequest) {}
}

/**
 * Marks an attempt as sent right before undici writes it to a connection. The deadline and whether the
 * request is still allowed are checked here for the last time, because the host may have been paused while
 * the attempt waited for a connection.
 */
export const trackSendState: Dispatcher.DispatcherComposeInterceptor =
  (dispatch) => (options, handler) => {
    const { opaque: sendState } = options as Dispatcher.RequestOptions<SendState>;
    if (!sendState) return dispatch(options, handler);
    return dispatch(options, {
      onRequestStart: (controller, context) => {
        const reason = findAbortReason(sendState.request);
        if (reason) controller.abort(new Abandoned(reason));
        handler.onRequestStart?.(controller, context);
        if (!controller.aborted) sendState.sent = true;
      },
      onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
      onResponseStart: (...args) => handler.onResponseStart?.(...args),
      onResponseData: (...args) => handler.onResponseData?.(...args),
      onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
      onResponseError: (...args) => handler.onResponseError?.(...args),
    });
  };
