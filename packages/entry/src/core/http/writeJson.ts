/** Writes JSON responses that the entry host creates itself. */
import type { ServerResponse } from 'node:http';

/**
 * Writes a JSON response.
 *
 * @param response - response to the caller
 * @param status - HTTP status
 * @param value - value that is written as JSON
 */
export const writeJson = (response: ServerResponse, status: number, value: unknown): void => {
  const text = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(text),
  });
  response.end(text);
};
