/** Writes refusals to callers and operators. */
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import {
  endRefusedRequest,
  mustCloseAfterRefusal,
} from '@jacinthlug/control/callers/endRefusedRequest';

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
  response.req.on('error', () => undefined);
  response.writeHead(status, {
    ...headers,
    'x-request-id': requestId,
    ...(mustCloseAfterRefusal(response, refusal.code) && { connection: 'close' }),
    'content-length': Buffer.byteLength(text),
  });
  endRefusedRequest(response, text, refusal.code);
};
