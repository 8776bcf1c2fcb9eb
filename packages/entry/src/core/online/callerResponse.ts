/** Writes answers of targets to callers. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import type { RecordedResponse } from '../claims/RecordedResponse.js';
import type { StreamedResponse } from '../forwarding/AttemptOutcome.js';

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/** Time after which a connection is destroyed whether or not its caller has read the error. Unit: ms. */
const FLUSH_TIMEOUT_MS = 1000;

/**
 * Writes a whole answer.
 *
 * @param response - answer to the caller
 * @param requestId - identifier of the request
 * @param answer - answer of the target
 * @param replayed - whether it comes from a claim
 */
export const writeCompleteResponse = (
  response: ServerResponse,
  requestId: string,
  { status, headers, body }: RecordedResponse,
  replayed = false,
): void => {
  response.writeHead(status, {
    ...headers,
    // Answers of these statuses have no body and must not tell its length.
    ...(!statusesWithoutBody.has(status) && { 'content-length': body.length }),
    'x-request-id': requestId,
    ...(replayed && { 'idempotent-replayed': 'true' }),
  });
  response.end(body);
};

/**
 * Begins a streamed answer.
 *
 * @param response - answer to the caller
 * @param requestId - identifier of the request
 * @param answer - answer of the target
 */
export const beginStream = (
  response: ServerResponse,
  requestId: string,
  { status, headers }: StreamedResponse,
): void => {
  response.writeHead(status, { ...headers, 'x-request-id': requestId });
};

/**
 * Writes events and waits while the caller reads more slowly than the target writes.
 *
 * @param response - answer to the caller
 * @param events - whole events
 * @param signal - ends the waiting
 * @returns whether the caller still takes events
 */
export const writeEvents = async (
  response: ServerResponse,
  events: Buffer,
  signal: AbortSignal,
): Promise<boolean> => {
  if (response.destroyed) return false;
  if (response.write(events)) return true;
  const waiting = new AbortController();
  const stop = () => waiting.abort();
  response.once('close', stop);
  signal.addEventListener('abort', stop);
  if (signal.aborted) stop();
  await once(response, 'drain', { signal: waiting.signal }).catch(() => undefined);
  response.off('close', stop);
  signal.removeEventListener('abort', stop);
  return !response.destroyed;
};

/**
 * Ends a stream that was cut: an error event, then the connection is destroyed, so that it is never taken
 * for whole.
 *
 * @param response - answer to the caller
 * @param requestId - identifier of the request
 * @param refusal - why it was cut
 */
export const cutStream = (response: ServerResponse, requestId: string, refusal: Refusal): void => {
  const event = `event: error\ndata: ${JSON.stringify(renderRefusal(refusal, requestId).body)}\n\n`;
  const timer = setTimeout(() => response.destroy(), FLUSH_TIMEOUT_MS);
  response.write(event, () => {
    clearTimeout(timer);
    response.destroy();
  });
};
