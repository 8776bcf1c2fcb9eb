/** Writes refusals to callers and operators. */
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';

/** Largest rest of a refused body that is read, so that its sender gets to see the refusal. */
const MAX_DRAINED_BYTES = 8 * 1024 * 1024;

/** Reads on while the sender still sends, and cuts the connection when it does not end. */
const drainRequest = (response: ServerResponse): void => {
  const { req: request } = response;
  let drained = 0;
  request.on('data', (chunk: Buffer) => {
    drained += chunk.length;
    if (drained > MAX_DRAINED_BYTES) request.destroy();
  });
  request.on('error', () => undefined);
};

/**
 * Writes a refusal, or destroys the connection when an answer has begun already.
 *
 * @param response - answer to the caller
 * @param refusal - the refusal
 * @param requestId - identifier of the request
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
