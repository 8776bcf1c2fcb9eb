/** Calls peers by tRPC over the connections of the process. */
import {
  callPeer,
  createControlClient,
  type ControlClient,
  type createPeerConnectionPool,
} from '@jacinthlug/protocol/controlClient';
import type { PeerClient } from './PeerClient.js';

/**
 * Maximum number of tRPC clients kept for reuse. Beyond it the oldest client is dropped, as the addresses
 * of replaced hosts are not used again.
 */
const MAX_CLIENTS = 256;

/**
 * Creates the client for calls to peers.
 *
 * @param fleetCredential - credential sent to peers
 * @param connections - connection pool of the process
 * @returns the client
 */
export const createPeerClient = (
  fleetCredential: string,
  connections: ReturnType<typeof createPeerConnectionPool>,
): PeerClient => {
  const clients = new Map<string, ControlClient>();
  const getClient = (address: string): ControlClient => {
    const known = clients.get(address);
    if (known) return known;
    const [oldest] = clients.keys();
    if (clients.size >= MAX_CLIENTS && oldest !== undefined) clients.delete(oldest);
    const client = createControlClient(address, fleetCredential, connections);
    clients.set(address, client);
    return client;
  };
  return {
    watch: (address, request, timeoutMs) =>
      callPeer(timeoutMs, (signal) =>
        getClient(address).configuration.watch.query(request, { signal }),
      ),
    share: (address, request, timeoutMs) =>
      callPeer(timeoutMs, (signal) => getClient(address).rates.share.mutate(request, { signal })),
  };
};
