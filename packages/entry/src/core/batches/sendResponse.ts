/** Sends responses of the batch endpoints. */
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { Exchange } from '../http/Exchange.js';

/**
 * Sends a JSON response.
 *
 * @param exchange - the exchange
 * @param body - body of the response
 */
export const sendJson = ({ response }: Exchange, body: object): void => {
  response.statusCode = 200;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
};

/**
 * Sends the content of a file. If the source fails, the connection is destroyed, and the caller
 * detects the truncated file by its content length.
 *
 * @param exchange - the exchange
 * @param bytes - size of the file in bytes
 * @param content - content of the file
 */
export const sendContent = async (
  { response }: Exchange,
  bytes: number,
  content: Readable,
): Promise<void> => {
  response.statusCode = 200;
  response.setHeader('content-type', 'application/octet-stream');
  response.setHeader('content-length', bytes);
  await pipeline(content, response).catch(() => undefined);
};
