/** Creates the exchange of a request. */
import { randomUUID } from 'node:crypto';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import type { Request, Response } from '@tinyhttp/app';
import type { Exchange } from './Exchange.js';

/**
 * Creates the exchange of a request. The request ID is always generated here, because an ID chosen by the
 * caller could be that of another request.
 *
 * @param request - the request
 * @param response - the response
 * @param timeoutMs - timeout for the request. Unit: ms
 * @param bodies - memory for the bodies of all exchanges
 * @returns the exchange
 */
export const openExchange = (
  request: Request,
  response: Response,
  timeoutMs: number,
  bodies: BodyBudget,
): Exchange => {
  const disconnection = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) disconnection.abort();
  });
  return {
    request,
    response,
    requestId: randomUUID(),
    bodies,
    deadline: performance.now() + timeoutMs,
    callerGone: disconnection.signal,
  };
};
