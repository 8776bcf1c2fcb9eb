/** Client of the control procedures of one peer. */
import { createTRPCClient, httpLink } from '@trpc/client';
import { err, ok, type Result } from 'neverthrow';
import { Agent, fetch } from 'undici';
import type { ControlRouter } from './controlRouter.js';
import { CONTROL_PATH, innerHeaders } from './headers.js';

/** The peer did not answer in time, or answered with an error. */
export interface PeerFailure {
  readonly kind: 'unreachable' | 'refused';
  readonly message: string;
}

/** Client of the control procedures of one peer. */
export type ControlClient = ReturnType<typeof createTRPCClient<ControlRouter>>;

const CONNECT_TIMEOUT_MS = 500;

/**
 * Opens the connections that a process uses for all its peers.
 *
 * @returns the undici dispatcher; close it on shutdown
 */
export const createPeerConnectionPool = (): Agent =>
  new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, connections: 4, keepAliveTimeout: 10_000 });

/**
 * Opens a client of one peer.
 *
 * @param address - inner address of the peer, as `ip:port`
 * @param fleetCredential - credential to show
 * @param dispatcher - connections of this process
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
 * Awaits a call to a peer with a limit.
 *
 * @param limitMs - longest time that the call may take. Unit: ms
 * @param call - starts the call; it must pass the signal on
 * @returns the answer, or why there is none
 */
export const callPeer = async <Answer>(
  limitMs: number,
  call: (signal: AbortSignal) => Promise<Answer>,
): Promise<Result<Answer, PeerFailure>> => {
  const signal = AbortSignal.timeout(limitMs);
  try {
    return ok(await call(signal));
  } catch (fault) {
    const message = fault instanceof Error ? fault.message : String(fault);
    const answered =
      typeof fault === 'object' && fault !== null && 'data' in fault && Boolean(fault.data);
    return err({ kind: answered ? 'refused' : 'unreachable', message });
  }
};
