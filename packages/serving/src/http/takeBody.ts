/** Reads the body of a request, unless the host stops taking requests before. */
import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, type Result } from 'neverthrow';
import { readBody } from './readBody.js';
import { refuseStopping, type Shutdown } from './Shutdown.js';

/**
 * Reads the body of a request that no target has yet. If the host no longer takes requests, the refusal follows the
 * body, as a caller that still sends it may not read a response.
 *
 * @param message - the request
 * @param limitBytes - maximum body size. Unit: bytes
 * @param shutdown - stop of the host
 * @param signal - ends reading when it is aborted
 * @returns the body, undefined if the caller disconnected or the signal was aborted before its end, or a refusal
 */
export const takeBody = async (
  message: IncomingMessage,
  limitBytes: number,
  shutdown: Shutdown,
  signal?: AbortSignal,
): Promise<Result<Buffer | undefined, Refusal>> => {
  const body = await shutdown.settle<Result<Buffer | undefined, Refusal>>(
    readBody(message, limitBytes, signal),
    () => err(refuseStopping()),
  );
  return body.isOk() && body.value && shutdown.isIntakeOver ? err(refuseStopping()) : body;
};
