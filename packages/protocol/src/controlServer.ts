/** Node.js HTTP request listener for the control procedures. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { timingSafeEqual } from 'node:crypto';
import { createHTTPHandler } from '@trpc/server/adapters/standalone';
import { createControlRouter, type ControlHandlers } from './controlRouter.js';
import { CONTROL_PATH, innerHeaders } from './headers.js';

/** Maximum size of a control message. Unit: bytes. */
const MAX_MESSAGE_BYTES = 4 * 1024 * 1024;

/**
 * Compares a presented credential with the expected one in constant time.
 *
 * @param presented - value of the header
 * @param expected - credential from the settings
 * @returns whether they are equal
 */
export const matchesCredential = (
  presented: string | string[] | undefined,
  expected: string,
): boolean => {
  if (typeof presented !== 'string') return false;
  const left = Buffer.from(presented);
  const right = Buffer.from(expected);
  return left.length === right.length && timingSafeEqual(left, right);
};

/**
 * Creates the request listener of the control procedures.
 *
 * @param handlers - handlers of the procedures that the process serves
 * @param fleetCredential - credential that callers must present
 * @returns a listener for requests whose path starts with {@link CONTROL_PATH}
 */
export const createControlListener = (
  handlers: ControlHandlers,
  fleetCredential: string,
): ((request: IncomingMessage, response: ServerResponse) => void) =>
  createHTTPHandler({
    router: createControlRouter(handlers),
    basePath: `${CONTROL_PATH}/`,
    maxBodySize: MAX_MESSAGE_BYTES,
    createContext: ({ req }) => ({
      fromPeer: matchesCredential(req.headers[innerHeaders.fleet], fleetCredential),
    }),
  });
