/** Writes answers of the batch endpoints. */
import type { Readable } from 'node:stream';
import { pipeline } from 'node:stream/promises';
import type { Exchange } from '../http/Exchange.js';

/**
 * Answers with JSON.
 *
 * @param exchange - the exchange
 * @param body - what to send
 */
export const sendJson = ({ response }: Exchange, body: object): void => {
  response.statusCode = 200;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
};

/**
 * Answers with the content of a file. When the source fails, the connection is destroyed: with the
 * length announced, the caller sees that the file is not whole.
 *
 * @param exchange - the exchange
 * @param bytes - size of the file
 * @param content - the file
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
