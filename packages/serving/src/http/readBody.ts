/** Reads the complete body of a caller's request. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';

/**
 * Reads a body. The rest of a body that is too large, or that is not read any more, is ignored, so that the caller gets
 * the refusal.
 *
 * @param message - the request
 * @param limitBytes - maximum body size. Unit: bytes
 * @param signal - ends reading when it is aborted
 * @returns the body, undefined if the caller disconnected or the signal was aborted before its end, or a refusal
 */
export const readBody = (
  message: IncomingMessage,
  limitBytes: number,
  signal?: AbortSignal,
): Promise<Result<Buffer | undefined, Refusal>> =>
  new Promise((resolve) => {
    const chunks: Buffer[] = [];
    let size = 0;
    let isDone = false;
    const finish = (result: Result<Buffer | undefined, Refusal>): void => {
      isDone = true;
      chunks.length = 0;
      resolve(result);
    };
    const stop = (): void => finish(ok(undefined));
    message.on('data', (chunk: Buffer) => {
      if (isDone) return;
      size += chunk.length;
      if (size <= limitBytes) chunks.push(chunk);
      else finish(err(refuse('body-too-large', { detail: `The limit is ${limitBytes} bytes.` })));
    });
    message.once('end', () => finish(ok(Buffer.concat(chunks))));
    // The only error of a request is that its connection is closed before its end.
    message.once('error', stop);
    message.once('close', stop);
    if (message.destroyed || signal?.aborted) stop();
    signal?.addEventListener('abort', stop);
  });
