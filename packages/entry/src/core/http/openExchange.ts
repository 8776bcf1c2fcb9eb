/** Opens the exchange of a request. */
import { randomUUID } from 'node:crypto';
import type { Request, Response } from '@tinyhttp/app';
import type { Exchange } from './Exchange.js';

/**
 * Opens an exchange. The request id is always our own: one chosen by a caller could be that of another
 * request.
 *
 * @param request - the request
 * @param response - the answer
 * @param timeLimitMs - time that the request may take. Unit: ms
 * @returns the exchange
 */
export const openExchange = (
  request: Request,
  response: Response,
  timeLimitMs: number,
): Exchange => {
  const gone = new AbortController();
  response.on('close', () => {
    if (!response.writableFinished) gone.abort();
  });
  return {
    request,
    response,
    requestId: randomUUID(),
    deadline: performance.now() + timeLimitMs,
    callerGone: gone.signal,
  };
};
