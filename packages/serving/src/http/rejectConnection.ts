/** Rejects what a caller sends on a connection in place of a valid request. */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';

const BAD_REQUEST = '400 Bad Request';

const statusesByCode: ReadonlyMap<string, string> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', '408 Request Timeout'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', '413 Payload Too Large'],
  ['HPE_HEADER_OVERFLOW', '431 Request Header Fields Too Large'],
]);

/**
 * Returns the status for an error of the HTTP parser, or for a request that isn't received in time.
 *
 * @param error - the error
 * @returns status code and reason
 */
export const statusByError = ({ code = '' }: NodeJS.ErrnoException): string =>
  statusesByCode.get(code) ?? BAD_REQUEST;

const ignore = (): void => undefined;

/**
 * Closes a connection with a status, once the complete requests that were received on it before have their responses.
 *
 * @param socket - the connection
 * @param status - status code and reason
 * @param responses - responses in progress on the connection
 */
export const rejectConnection = (
  socket: Duplex,
  status: string,
  responses: ReadonlySet<ServerResponse>,
): void => {
  socket.on('error', ignore);
  const running = [...responses];
  const last = running.findLast(({ req }) => req.complete);
  if (last && !socket.destroyed) {
    last.once('close', () => rejectConnection(socket, status, responses));
    return;
  }
  if (socket.writable && running.every(({ headersSent }) => !headersSent))
    socket.write(`HTTP/1.1 ${status}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
  socket.destroy();
};
