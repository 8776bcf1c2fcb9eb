/** Checks whether the target accepts connections. */
import { connect } from 'node:net';

const PROBE_TIMEOUT_MS = 300;

/**
 * Opens a connection to the target and closes it immediately.
 *
 * @param origin - base URL of the target
 * @returns whether the connection was accepted
 */
export const probeTarget = (origin: URL): Promise<boolean> =>
  new Promise((resolve) => {
    const port = Number(origin.port || 80);
    const socket = connect({ host: origin.hostname, port });
    const settle = (isAccepted: boolean): void => {
      socket.destroy();
      resolve(isAccepted);
    };
    socket.setTimeout(PROBE_TIMEOUT_MS, () => settle(false));
    socket.once('connect', () => settle(true));
    socket.once('error', () => settle(false));
  });
