/** Client of the control procedures of one peer. */
import { createTRPCClient, httpLink } from '@trpc/client';
import { err, ok, type Result } from 'neverthrow';
import { Agent, fetch } from 'undici';
import type { ControlRouter } from './controlRouter.js';
import { CONTROL_PATH, innerHeaders } from './headers.js';

/** Why a call to a peer failed: no response in time, or an error response. */
export interface PeerFailure {
  readonly kind: 'unreachable' | 'refused';
  readonly message: string;
}

/** Client of the control procedures of one peer. */
export type ControlClient = ReturnType<typeof createTRPCClient<ControlRouter>>;

const CONNECT_TIMEOUT_MS = 500;

/**
 * Creates the connection pool that a process uses for all its peers.
 *
 * @returns the undici dispatcher; close it on shutdown
 */
export const createPeerConnectionPool = (): Agent =>
  new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 4, keepAliveTimeout: 10_000 });

/**
 * Creates a client of one peer.
 *
 * @param address - inner address of the peer, as `ip:port`
 * @param fleetCredential - credential to present
 * @param dispatcher - connection pool of this process
 * @returns the typed client
 */
export const createControlClient = (
  address: string,
  fleetCredential: string,
  dispatcher: Agent,
): ControlClient =>
  createTRPCClient<ControlRouter>({
    links: [
      httpLink({
        url: `http://${address}${CONTROL_PATH}`,
        headers: { [innerHeaders.fleet]: fleetCredential },
        fetch: (url, options) =>
          fetch(url as string, { ...options, dispatcher } as Parameters<typeof fetch>[1]) as never,
      }),
    ],
  });

/**
 * Awaits a call to a peer, with a timeout.
 *
 * @param timeoutMs - timeout for the call. Unit: ms
 * @param call - starts the call; it must honour the signal
 * @returns the response, or why there is none
 */
export const callPeer = async <Response>(
  timeoutMs: number,
  call: (signal: AbortSignal) => Promise<Response>,
): Promise<Result<Response, PeerFailure>> => {
  const signal = AbortSignal.timeout(timeoutMs);
  try {
    return ok(await call(signal));
  } catch (fault) {
    const message = fault instanceof Error ? fault.message : String(fault);
    const hasResponded =
      typeof fault === 'object' && fault !== null && 'data' in fault && Boolean(fault.data);
    return err({ kind: hasResponded ? 'refused' : 'unreachable', message });
  }
};
