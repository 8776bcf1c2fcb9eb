/** Parses large uploads in a worker thread. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { parseUpload, type ParsedUpload } from './parseUpload.js';

/** Input of the worker thread. */
export interface UploadTask {
  readonly body: Uint8Array<ArrayBuffer>;
  readonly contentType: string;
}

/** Maximum size of a body that is parsed on the main thread. Unit: bytes. */
const MAX_INLINE_BYTES = 1_048_576;

/**
 * Checks whether a body is parsed in a worker thread.
 *
 * @param body - complete body
 * @returns whether it is
 */
export const isParsedInThread = ({ byteLength }: Uint8Array): boolean =>
  byteLength > MAX_INLINE_BYTES;

/**
 * Parses a multipart body without blocking the event loop. Parsing a body of 100 MB takes half a
 * second.
 *
 * @param body - complete body; a large one is transferred to the thread and unusable afterwards
 * @param contentType - value of the `content-type` header
 * @returns the parts, or undefined if the body is not multipart/form-data
 */
export const parseLargeUpload = async (
  body: Uint8Array<ArrayBuffer>,
  contentType: string,
): Promise<ParsedUpload | undefined> => {
  if (!isParsedInThread(body)) return parseUpload(body, contentType);
  const workerData: UploadTask = { body, contentType };
  const worker = new Worker(new URL('./uploadThread.js', import.meta.url), {
    workerData,
    transferList: [body.buffer],
  });
  const [parsed] = (await once(worker, 'message')) as [ParsedUpload | undefined];
  return parsed;
};
