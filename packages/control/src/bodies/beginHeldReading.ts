/** Reads the body of a request in memory of a budget. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { refuse } from '@jacinthlug/catalog/resultCodes';
import type { BodyBudget } from './BodyBudget.js';
import type { HeldBody } from './HeldBody.js';
import { beginReading, type BodyReading } from './readBody.js';

/** How a body is read. */
export interface HeldReadingOptions {
  /** Maximum body size. Unit: bytes. */
  readonly limitBytes: number;
  /** Memory for bodies. */
  readonly bodies: BodyBudget;
  /** Name of the client account; undefined without one. */
  readonly account: string | undefined;
  /** Response to the request, with whose end the memory of the body is released. */
  readonly response: ServerResponse;
  /** Ends reading when it is aborted. */
  readonly signal?: AbortSignal | undefined;
}

/** A body that is read, and its memory. */
export interface HeldReading extends BodyReading {
  readonly held: HeldBody;
}

/**
 * Begins to read a body. Without an account, its memory counts for the address of the caller.
 *
 * @param message - the request
 * @param options - limits
 * @returns the reading; its memory must be released if it has no body
 */
export const beginHeldReading = (
  message: IncomingMessage,
  { limitBytes, bodies, account, response, signal }: HeldReadingOptions,
): HeldReading => {
  let reading: BodyReading | undefined;
  const held = bodies.open(account ?? message.socket.remoteAddress ?? '', () =>
    reading?.refuse(refuse('bodies-over-memory')),
  );
  response.once('close', () => held.release());
  reading = beginReading(message, { limitBytes, signal, held });
  return { ...reading, held };
};
