/** Reads the body of a request, unless the host stops taking requests or has no memory for it. */
import type { IncomingMessage } from 'node:http';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import {
  beginHeldReading,
  type HeldReadingOptions,
} from '@jacinthlug/control/bodies/beginHeldReading';
import type { HeldBody } from '@jacinthlug/control/bodies/HeldBody';
import { err, ok, type Result } from 'neverthrow';
import { refuseStopping, type Shutdown } from './Shutdown.js';

/** How a body is taken. */
export interface BodyIntake extends HeldReadingOptions {
  /** Stop of the host. */
  readonly shutdown: Shutdown;
}

/** A body and its memory. */
export interface TakenBody {
  readonly content: Buffer;
  readonly held: HeldBody;
}

/**
 * Reads the body of a request that no target has yet. If the host no longer takes requests, the refusal follows the
 * body, as a caller that still sends it may not read a response.
 *
 * @param message - the request
 * @param intake - limits
 * @returns the body, undefined if the caller disconnected or the signal was aborted before its end, or a refusal
 */
export const takeBody = async (
  message: IncomingMessage,
  { shutdown, ...options }: BodyIntake,
): Promise<Result<TakenBody | undefined, Refusal>> => {
  const { held, body: received } = beginHeldReading(message, options);
  const body = await shutdown.settle<Result<Buffer | undefined, Refusal>>(received, () =>
    err(refuseStopping()),
  );
  if (body.isErr() || !body.value) held.release();
  if (body.isErr()) return err(body.error);
  if (!body.value) return ok(undefined);
  if (!shutdown.isIntakeOver) return ok({ content: body.value, held });
  return err(refuseStopping());
};
