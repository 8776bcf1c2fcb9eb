/** Ends the response to a request that is refused before it has been received completely. */
import type { ServerResponse } from 'node:http';
import type { ResultName } from '@jacinthlug/catalog/resultCodes';

/** Maximum announced size of a body whose rest is read so that the connection can be used again. Unit: bytes. */
const MAX_REUSE_BYTES = 65_536;

/** That size by result code, where it differs: callers send bodies somewhat over the limit by mistake. Unit: bytes. */
const maxReuseBytes: Readonly<Partial<Record<ResultName, number>>> = {
  'body-too-large': 8_388_608,
};

/** Maximum rest of a body that is read so that its sender gets the refusal. Unit: bytes. */
const MAX_REST_BYTES = 1_048_576;

/** What a chunk counts besides its bytes, as very small ones take as long to read as large ones. Unit: bytes. */
const CHUNK_OVERHEAD_BYTES = 64;

/** Maximum time for which that rest is read. Unit: ms. */
const MAX_REST_MS = 1000;

/**
 * Checks whether the connection of a refused request is closed after the response, as the rest of the body is long or may
 * have no end.
 *
 * @param response - the response
 * @param code - result code of the refusal
 * @returns whether the connection is closed
 */
export const mustCloseAfterRefusal = ({ req }: ServerResponse, code: ResultName): boolean => {
  if (req.complete) return false;
  const { 'content-length': length, 'transfer-encoding': encoding } = req.headers;
  return encoding !== undefined || Number(length ?? 0) > (maxReuseBytes[code] ?? MAX_REUSE_BYTES);
};

/**
 * Writes the body of a refusal and ends the response. Where the connection is closed, a bounded rest of the request is read
 * before: a connection that is closed with unread bytes is reset, and the caller may lose the refusal.
 *
 * @param response - response whose head has been written, with the length of the content
 * @param content - body of the response
 * @param code - result code of the refusal
 */
export const endRefusedRequest = (
  response: ServerResponse,
  content: string,
  code: ResultName,
): void => {
  const { req: message } = response;
  if (!mustCloseAfterRefusal(response, code)) {
    response.end(content);
    return;
  }
  response.write(content);
  let restBytes = 0;
  let timer: NodeJS.Timeout | undefined;
  const end = (): void => {
    clearTimeout(timer);
    response.end();
  };
  timer = setTimeout(end, MAX_REST_MS);
  message.on('data', (bytes: Buffer) => {
    restBytes += bytes.length + CHUNK_OVERHEAD_BYTES;
    if (restBytes > MAX_REST_BYTES) end();
  });
  message.once('end', end);
  response.once('close', () => clearTimeout(timer));
};
