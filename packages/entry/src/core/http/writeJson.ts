/** Writes JSON answers of the entry host's own. */
import type { ServerResponse } from 'node:http';

/**
 * Writes a JSON answer.
 *
 * @param response - answer to the caller
 * @param status - HTTP status
 * @param value - content
 */
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
