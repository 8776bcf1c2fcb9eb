/** Resets of callers' connections. */
import type { Socket } from 'node:net';

/**
 * Time before a connection is reset, in which the peer reads what was sent. Node.js and other users of libuv report a
 * reset that arrives together with data as a regular end. Unit: ms.
 */
export const RESET_DELAY_MS = 50;

/**
 * Closes a connection with a reset. `Socket.resetAndDestroy` is not used, as it first sends the regular end of the
 * connection, at which a response without length or chunks looks complete.
 *
 * @param socket - socket of the connection
 */
export const resetConnection = (socket: Socket): void => {
  // Node.js can't reset a connection whose regular end is on its way, and would leave its descriptor open.
  if (!socket.writableEnded) Object.assign(socket, { resetAndClosing: true });
  socket.destroy();
};
