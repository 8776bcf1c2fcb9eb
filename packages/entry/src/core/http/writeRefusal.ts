/** Writes refusals to callers and operators. */
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';

/** Maximum size of the rest of a refused body that is read so that its sender can receive the refusal. */
const MAX_DRAINED_BYTES = 8 * 1024 * 1024;

/** Discards the rest of the body, and closes the connection after {@link MAX_DRAINED_BYTES}. */
const drainRequest = (response: ServerResponse): void => {
  const { req: request } = response;
  let drainedBytes = 0;
  request.on('data', (chunk: Buffer) => {
    drainedBytes += chunk.length;
    if (drainedBytes > MAX_DRAINED_BYTES) request.destroy();
  });
  request.on('error', () => undefined);
};

/**
 * Writes a refusal, or destroys the connection if a response has already been started.
 *
 * @param response - response to the caller or operator
 * @param refusal - the refusal
 * @param requestId - ID of the request
 */
export const writeRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  requestId: string,
): void => {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { status, headers, body } = renderRefusal(refusal, requestId);
  const text = JSON.stringify(body);
  if (!response.req.complete) {
    response.setHeader('connection', 'close');
    drainRequest(response);
  }
  response.writeHead(status, {
    ...headers,
    'x-request-id': requestId,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
