/** Sends refusals on the data path. */
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';

/**
 * Sends a refusal as the response.
 *
 * @param response - response that has not been started
 * @param refusal - the refusal
 * @param protocolHeaders - headers of the inner protocol
 * @param requestId - id of the refused request, if it has one
 */
export const sendRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  protocolHeaders: Readonly<Record<string, string>>,
  requestId?: string,
): void => {
  const { status, headers, body } = renderRefusal(refusal, requestId);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    ...protocolHeaders,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
