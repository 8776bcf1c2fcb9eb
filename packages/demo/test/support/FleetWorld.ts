/** State of scenarios on real processes, and the fleet that they share. */
import { startFleet, type Fleet, type FleetHost } from '../../src/launch/Fleet.js';
import type { GrantedKey } from '../../src/launch/OperatorClient.js';
import { waitUntil } from '../../src/launch/waitUntil.js';

/** A complete response as its caller receives it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

/** A request that a stand-in received. */
export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string | string[] | undefined>>;
  readonly body: string;
  readonly outcome: string;
}

/** State of one scenario. */
export interface FleetWorld {
  fleet: Fleet;
  responses: CallerResponse[];
  pending: Promise<unknown>[];
  jobId: string;
  /** Number of requests that each stand-in had received when the scenario began, by URL. */
  receivedBefore: Map<string, number>;
}

/** Short leases keep recoveries short; slow tokens leave time to act while streams run. */
const fleetOptions = {
  deployment: 'small',
  verbose: process.env.FLEET_LOGS === 'true',
  engineArgs: ['--token-ms', '20'],
  agentSettings: { chunkLeaseMs: 3000 },
} as const;

let sharedFleet: Fleet | undefined;

/**
 * Returns the fleet that scenarios share, and starts it if none is running.
 *
 * @returns the running fleet
 */
export const getSharedFleet = async (): Promise<Fleet> => {
  sharedFleet ??= await startFleet(fleetOptions);
  return sharedFleet;
};

/** Stops the shared fleet. The next scenario starts a new one. */
export const discardFleet = async (): Promise<void> => {
  const fleet = sharedFleet;
  sharedFleet = undefined;
  await fleet?.stop();
};

/**
 * Returns an entry host.
 *
 * @param fleet - running fleet
 * @param number - number of the entry host, from 1
 * @returns the host with its URL
 */
export const getEntryHost = (fleet: Fleet, number: number): FleetHost & { url: string } => {
  const host = fleet.entries[number - 1];
  if (host?.url === undefined) throw new Error(`no entry host ${number}`);
  return host as FleetHost & { url: string };
};

/**
 * Returns the key of a client account.
 *
 * @param fleet - running fleet
 * @param account - name of the client account
 * @returns the granted key
 */
export const getKey = (fleet: Fleet, account: string): GrantedKey => {
  const key = fleet.keys.get(account);
  if (!key) throw new Error(`no key was granted to ${account}`);
  return key;
};

/**
 * Sends a request as a caller.
 *
 * @param url - URL with path and query
 * @param secret - secret of the key; undefined sends none
 * @param body - JSON value or text of a POST; undefined sends a GET
 * @param headers - additional headers
 * @returns the complete response
 */
export const send = async (
  url: string,
  secret: string | undefined,
  body?: unknown,
  headers: Readonly<Record<string, string>> = {},
): Promise<CallerResponse> => {
  const response = await fetch(url, {
    method: body === undefined ? 'GET' : 'POST',
    headers: {
      ...(secret === undefined ? {} : { authorization: `Bearer ${secret}` }),
      'content-type': 'application/json',
      ...headers,
    },
    ...(body === undefined ? {} : { body: typeof body === 'string' ? body : JSON.stringify(body) }),
  });
  return { status: response.status, headers: response.headers, text: await response.text() };
};

/**
 * Builds a chat request.
 *
 * @param fleet - fleet whose model is used
 * @param content - user message
 * @param maxTokens - maximum length of the response. Unit: tokens
 * @param stream - whether the response is streamed
 * @returns the request body
 */
export const createChatBody = (
  fleet: Fleet,
  content: string,
  maxTokens: number,
  stream = false,
) => ({
  model: fleet.deployment.model,
  messages: [{ role: 'user' as const, content }],
  max_tokens: maxTokens,
  stream,
});

/** Paths of the requests that agents send to their targets on their own behalf. */
const AGENT_REQUEST_PATHS = new Set(['/load', '/orders', '/v1/models', '/health']);

/**
 * Reads the requests that stand-ins received, without those that agents send on their own behalf.
 *
 * @param urls - base URLs of the stand-ins
 * @returns the requests of each stand-in in order of arrival, one stand-in after the other
 */
export const readReceivedRequests = async (urls: readonly string[]): Promise<ReceivedRequest[]> => {
  const lists = await Promise.all(
    urls.map(async (url) => {
      let list: ReceivedRequest[] = [];
      // A crashed engine is unreachable until it has restarted. Its request log survives.
      await waitUntil(url, 10_000, async () => {
        const response = await fetch(`${url}/_standin/requests`);
        list = (await response.json()) as ReceivedRequest[];
        return true;
      });
      return list;
    }),
  );
  return lists.flat().filter(({ path }) => !AGENT_REQUEST_PATHS.has(path));
};

/**
 * Replaces the faults of a stand-in.
 *
 * @param url - base URL of the stand-in
 * @param faults - the new faults; all earlier ones are cleared
 */
export const setFaults = async (
  url: string,
  faults: Readonly<Record<string, unknown>>,
): Promise<void> => {
  const response = await fetch(`${url}/_standin/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
  if (!response.ok)
    throw new Error(`setting faults failed: ${response.status} ${await response.text()}`);
};
