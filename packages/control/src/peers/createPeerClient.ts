/** Calls to peers by tRPC over the connections of the process. */
import {
  callPeer,
  createControlClient,
  type ControlClient,
  type createPeerConnectionPool,
} from '@jacinthlug/protocol/controlClient';
import type { PeerClient } from './PeerClient.js';

/** Clients kept for reuse; the oldest is dropped beyond this, as replaced hosts do not come back. */
const MAX_CLIENTS = 256;

/**
 * Creates the calls to peers.
 *
 * @param fleetCredential - credential shown to peers
 * @param connections - connections of the process
 * @returns the calls
 */
export const createPeerClient = (
  fleetCredential: string,
  connections: ReturnType<typeof createPeerConnectionPool>,
): PeerClient => {
  const clients = new Map<string, ControlClient>();
  const clientOf = (address: string): ControlClient => {
    const known = clients.get(address);
    if (known) return known;
    const [oldest] = clients.keys();
    if (clients.size >= MAX_CLIENTS && oldest !== undefined) clients.delete(oldest);
    const client = createControlClient(address, fleetCredential, connections);
    clients.set(address, client);
    return client;
  };
  return {
    watch: (address, question, limitMs) =>
      callPeer(limitMs, (signal) =>
        clientOf(address).configuration.watch.query(question, { signal }),
      ),
    share: (address, question, limitMs) =>
      callPeer(limitMs, (signal) => clientOf(address).rates.share.mutate(question, { signal })),
  };
};
