/** Rejects what a caller sends on a connection in place of a valid request. */
import type { ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import { formatRejection, type Rejection } from '@jacinthlug/control/callers/formatRejection';

const rejectionsByCode: ReadonlyMap<string, Rejection> = new Map([
  ['ERR_HTTP_REQUEST_TIMEOUT', 'late request'],
  ['HPE_CHUNK_EXTENSIONS_OVERFLOW', 'oversized chunk extensions'],
  ['HPE_HEADER_OVERFLOW', 'oversized head'],
]);

/**
 * Returns what is rejected after an error of the HTTP parser, or if a request isn't received in time.
 *
 * @param error - the error
 * @returns what is rejected
 */
export const findRejection = ({ code = '' }: NodeJS.ErrnoException): Rejection =>
  rejectionsByCode.get(code) ?? 'invalid request';

const ignore = (): void => undefined;

/**
 * Closes a connection with a status, once the complete requests that were received on it before have their responses.
 *
 * @param socket - the connection
 * @param rejection - what is rejected
 * @param responses - responses in progress on the connection
 */
export const rejectConnection = (
  socket: Duplex,
  rejection: Rejection,
  responses: ReadonlySet<ServerResponse>,
): void => {
  socket.on('error', ignore);
  const running = [...responses];
  const last = running.findLast(({ req }) => req.complete);
  if (last && !socket.destroyed) {
    last.once('close', () => rejectConnection(socket, rejection, responses));
    return;
  }
  if (socket.writable && running.every(({ headersSent }) => !headersSent))
    socket.write(formatRejection(rejection));
  socket.destroy();
};
