/** Reads the complete body of a caller's request. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { GrowingBlock } from './GrowingBlock.js';
import type { HeldBody } from './HeldBody.js';

/** Returns the announced size of a body; undefined for a body in chunks. Unit: bytes. */
const readAnnouncedBytes = ({ headers }: IncomingMessage): number | undefined =>
  headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/** A body that is read. */
export interface BodyReading {
  /** The body; undefined if the caller disconnected or the signal was aborted before its end; or a refusal. */
  readonly body: Promise<Result<Buffer<ArrayBuffer> | undefined, Refusal>>;
  /** Ends reading with a refusal. */
  readonly refuse: (refusal: Refusal) => void;
}

/** How a body is read. */
export interface BodyReadingOptions {
  /** Maximum body size. Unit: bytes. */
  readonly limitBytes: number;
  /** Ends reading when it is aborted. */
  readonly signal?: AbortSignal | undefined;
  /** Memory of the body; its budget is not limited otherwise. */
  readonly held?: HeldBody | undefined;
}

/**
 * Begins to read a body. The rest of a body that is too large, or that is not read any more, is ignored.
 *
 * @param message - the request
 * @param options - limits
 * @returns the reading
 */
export const beginReading = (
  message: IncomingMessage,
  { limitBytes, signal, held }: BodyReadingOptions,
): BodyReading => {
  let end: (result: Result<Buffer<ArrayBuffer> | undefined, Refusal>) => void;
  const body = new Promise<Result<Buffer<ArrayBuffer> | undefined, Refusal>>((resolve) => {
    end = resolve;
  });
  const announcedBytes = readAnnouncedBytes(message);
  let block: GrowingBlock | undefined = new GrowingBlock(
    Math.min(announcedBytes ?? limitBytes, limitBytes),
  );
  const finish = (result: Result<Buffer<ArrayBuffer> | undefined, Refusal>): void => {
    block?.free();
    block = undefined;
    end(result);
  };
  const stop = (): void => finish(ok(undefined));
  const tooLarge = (): Refusal =>
    refuse('body-too-large', { detail: `The limit is ${limitBytes} bytes.` });
  const take = (piece: Buffer): void => {
    if (!block) return;
    if (block.size + piece.length > limitBytes) finish(err(tooLarge()));
    else if (held && !held.reserve(block.sizeWith(piece.length)))
      finish(err(refuse('bodies-over-memory')));
    else block.append(piece);
  };
  const refuseBody = (refusal: Refusal): void => finish(err(refusal));
  if (announcedBytes !== undefined && announcedBytes > limitBytes) {
    refuseBody(tooLarge());
    return { body, refuse: refuseBody };
  }
  message.on('data', take);
  message.once('end', () => {
    if (held && block) Object.assign(held, { isComplete: true });
    finish(ok(block?.take()));
  });
  // The only error of a request is that its connection is closed before its end.
  message.once('error', stop);
  message.once('close', stop);
  if (message.destroyed || signal?.aborted) stop();
  signal?.addEventListener('abort', stop);
  return { body, refuse: refuseBody };
};

/**
 * Reads a body.
 *
 * @param message - the request
 * @param limitBytes - maximum body size. Unit: bytes
 * @returns the body, undefined if the caller disconnected before its end, or a refusal
 */
export const readBody = (
  message: IncomingMessage,
  limitBytes: number,
): Promise<Result<Buffer<ArrayBuffer> | undefined, Refusal>> =>
  beginReading(message, { limitBytes }).body;
