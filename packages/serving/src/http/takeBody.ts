/** Reads the body of a request, unless the host stops taking requests or has no memory for it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import type { HeldBody } from '@jacinthlug/control/bodies/HeldBody';
import { err, ok, type Result } from 'neverthrow';
import { beginReading, type BodyReading } from './readBody.js';
import { refuseStopping, type Shutdown } from './Shutdown.js';

/** How a body is taken. */
export interface BodyIntake {
  /** Maximum body size. Unit: bytes. */
  readonly limitBytes: number;
  /** Stop of the host. */
  readonly shutdown: Shutdown;
  /** Memory for bodies. */
  readonly bodies: BodyBudget;
  /** Name of the client account; undefined on open routes. */
  readonly account: string | undefined;
  /** Response to the request, with whose end the memory of the body is released. */
  readonly response: ServerResponse;
  /** Ends reading when it is aborted. */
  readonly signal: AbortSignal;
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
  { limitBytes, shutdown, bodies, account, response, signal }: BodyIntake,
): Promise<Result<TakenBody | undefined, Refusal>> => {
  const holder = account ?? message.socket.remoteAddress ?? '';
  let reading: BodyReading | undefined;
  const held = bodies.open(holder, () => reading?.refuse(refuse('bodies-over-memory')));
  response.once('close', () => held.release());
  reading = beginReading(message, { limitBytes, signal, held });
  const body = await shutdown.settle<Result<Buffer | undefined, Refusal>>(reading.body, () =>
    err(refuseStopping()),
  );
  if (body.isErr() || !body.value) held.release();
  if (body.isErr()) return err(body.error);
  if (!body.value) return ok(undefined);
  if (!shutdown.isIntakeOver) return ok({ content: body.value, held });
  return err(refuseStopping());
};
