/** Measures the CPU time and the bytes of a call between two hosts. */
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import {
  createControlClient,
  createPeerConnectionPool,
  type ControlClient,
} from '@jacinthlug/protocol/controlClient';
import type { ControlHandlers } from '@jacinthlug/protocol/controlRouter';
import { createControlListener } from '@jacinthlug/protocol/controlServer';

/** Cost of one call, client and server together. */
export interface CallCost {
  /** User and system CPU time. Unit: us. */
  readonly cpuMicros: number;
  /** TCP payload in both directions. Unit: bytes. */
  readonly bytes: number;
}

const CREDENTIAL = 'measurement-credential';
const CALLS = 400;
const WARM_UP_CALLS = 150;

/**
 * Measures a call over a persistent connection on 127.0.0.1.
 *
 * Client and server run in this process, so the CPU time covers both.
 *
 * @param handlers - request handlers of the server
 * @param call - makes one call
 * @returns the mean cost of a call
 */
export const measureCalls = async (
  handlers: ControlHandlers,
  call: (client: ControlClient) => Promise<unknown>,
): Promise<CallCost> => {
  const server = createServer(createControlListener(handlers, CREDENTIAL));
  const sockets = new Set<Socket>();
  server.on('connection', (socket) => sockets.add(socket));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const dispatcher = createPeerConnectionPool();
  const { port } = server.address() as AddressInfo;
  const client = createControlClient(`127.0.0.1:${port}`, CREDENTIAL, dispatcher);
  const countBytes = (): number =>
    [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
  const repeat = async (times: number): Promise<void> => {
    for (let index = 0; index < times; index += 1) await call(client);
  };
  await repeat(WARM_UP_CALLS);
  const bytesBefore = countBytes();
  const before = process.cpuUsage();
  await repeat(CALLS);
  const used = process.cpuUsage(before);
  const bytes = countBytes() - bytesBefore;
  await dispatcher.close();
  server.closeAllConnections();
  server.close();
  return { cpuMicros: (used.user + used.system) / CALLS, bytes: bytes / CALLS };
};
