/** Writes responses of targets to callers. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { RecordedResponse } from '../claims/RecordedResponse.js';
import type { StreamedResponse } from '../forwarding/AttemptOutcome.js';

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Timeout for the caller to read an error event before its connection is destroyed. Unit: ms. */
const FLUSH_TIMEOUT_MS = 1000;

/**
 * Writes a complete response.
 *
 * @param response - response to the caller
 * @param requestId - identifier of the request
 * @param targetResponse - response of the target
 * @param replayed - whether it was recorded by a claim
 */
export const writeCompleteResponse = (
  response: ServerResponse,
  requestId: string,
  { status, headers, body }: RecordedResponse,
  replayed = false,
): void => {
  response.writeHead(status, {
    ...headers,
    // Responses with these statuses have no body and must not declare its length.
    ...(!statusesWithoutBody.has(status) && { 'content-length': body.length }),
    'x-request-id': requestId,
    ...(replayed && { 'idempotent-replayed': 'true' }),
  });
  response.end(body);
};

/**
 * Starts a streamed response.
 *
 * @param response - response to the caller
 * @param requestId - identifier of the request
 * @param targetResponse - response of the target
 */
export const beginStream = (
  response: ServerResponse,
  requestId: string,
  { status, headers }: StreamedResponse,
): void => {
  response.writeHead(status, { ...headers, 'x-request-id': requestId });
};

/**
 * Writes events. Waits for the connection to drain if the caller reads more slowly than the target writes.
 *
 * @param response - response to the caller
 * @param events - complete events
 * @param signal - stops waiting when aborted
 * @returns whether the caller is still connected
 */
export const writeEvents = async (
  response: ServerResponse,
  events: Buffer,
  signal: AbortSignal,
): Promise<boolean> => {
  if (response.destroyed) return false;
  if (response.write(events)) return true;
  const drainWait = new AbortController();
  const stopWaiting = () => drainWait.abort();
  response.once('close', stopWaiting);
  signal.addEventListener('abort', stopWaiting);
  if (signal.aborted) stopWaiting();
  await once(response, 'drain', { signal: drainWait.signal }).catch(() => undefined);
  response.off('close', stopWaiting);
  signal.removeEventListener('abort', stopWaiting);
  return !response.destroyed;
};

/**
 * Ends a stream that was cut: writes an error event and then destroys the connection, so that the caller does
 * not mistake the response for a complete one.
 *
 * @param response - response to the caller
 * @param requestId - identifier of the request
 * @param refusal - reason of the cut
 */
export const cutStream = (response: ServerResponse, requestId: string, refusal: Refusal): void => {
  const event = `event: error\ndata: ${JSON.stringify(renderRefusal(refusal, requestId).body)}\n\n`;
  const timer = setTimeout(() => response.destroy(), FLUSH_TIMEOUT_MS);
  response.write(event, () => {
    clearTimeout(timer);
    response.destroy();
  });
};
