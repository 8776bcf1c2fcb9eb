/** Answers refusals on the data path. */
import type { ServerResponse } from 'node:http';
import { renderRefusal } from '@jacinthlug/catalog/refusalBody';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';

/**
 * Answers with a refusal.
 *
 * @param response - response of which nothing has been sent
 * @param refusal - the refusal
 * @param ownHeaders - headers of the inner protocol
 * @param requestId - id of the refused request, when it had one
 */
export const sendRefusal = (
  response: ServerResponse,
  refusal: Refusal,
  ownHeaders: Readonly<Record<string, string>>,
  requestId?: string,
): void => {
  const { status, headers, body } = renderRefusal(refusal, requestId);
  const text = JSON.stringify(body);
  response.writeHead(status, {
    ...headers,
    ...ownHeaders,
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
