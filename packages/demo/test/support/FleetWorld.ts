/** State of a scenario on real processes, and the fleet that scenarios share. */
import { startFleet, type Fleet, type FleetHost } from '../../src/launch/Fleet.js';
import type { GrantedKey } from '../../src/launch/OperatorClient.js';
import { waitUntil } from '../../src/launch/waitUntil.js';

/** An answer as a caller sees it. */
export interface CallerResponse {
  readonly status: number;
  readonly headers: Headers;
  readonly text: string;
}

/** A request that a stand-in was given. */
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
  /** Requests that stand-ins had seen when the scenario began, by URL. */
  receivedBefore: Map<string, number>;
}

/** Short leases let a scenario wait for a recovery; slow tokens let it act while streams run. */
const fleetOptions = {
  deployment: 'small',
  verbose: process.env.FLEET_LOGS === 'true',
  engineArgs: ['--token-ms', '20'],
  agentSettings: { chunkLeaseMs: 3000 },
} as const;

let sharedFleet: Fleet | undefined;

/**
 * Gives the fleet that scenarios share; starts it when there is none.
 *
 * @returns the running fleet
 */
export const getSharedFleet = async (): Promise<Fleet> => {
  sharedFleet ??= await startFleet(fleetOptions);
  return sharedFleet;
};

/** Stops the shared fleet, so that the next scenario gets a new one. */
export const discardFleet = async (): Promise<void> => {
  const fleet = sharedFleet;
  sharedFleet = undefined;
  await fleet?.stop();
};

/**
 * Finds an entry host.
 *
 * @param fleet - the fleet
 * @param number - from 1
 * @returns the host with its URL
 */
export const getEntryHost = (fleet: Fleet, number: number): FleetHost & { url: string } => {
  const host = fleet.entries[number - 1];
  if (host?.url === undefined) throw new Error(`no entry host ${number}`);
  return host as FleetHost & { url: string };
};

/**
 * Finds the key of an account.
 *
 * @param fleet - the fleet
 * @param account - name of the account
 * @returns the granted key
 */
export const getKey = (fleet: Fleet, account: string): GrantedKey => {
  const key = fleet.keys.get(account);
  if (!key) throw new Error(`no key of ${account}`);
  return key;
};

/**
 * Sends a request as a caller.
 *
 * @param url - whole URL
 * @param secret - key; nothing on open routes
 * @param body - JSON body or text; a GET without
 * @param headers - further headers
 * @returns the whole answer
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
 * @param fleet - the fleet, for its model
 * @param content - text of the user
 * @param maxTokens - length of the answer
 * @param stream - whether the answer is streamed
 * @returns the body
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

/** Questions that agents ask their targets on their own account. */
const AGENT_REQUEST_PATHS = new Set(['/load', '/orders', '/v1/models', '/health']);

/**
 * Reads the work that stand-ins were given; what agents ask on their own account is left out.
 *
 * @param urls - base URLs of the stand-ins
 * @returns all requests, per stand-in in order
 */
export const readReceivedRequests = async (urls: readonly string[]): Promise<ReceivedRequest[]> => {
  const lists = await Promise.all(
    urls.map(async (url) => {
      let list: ReceivedRequest[] = [];
      // An engine that crashed is away for a moment; its log survives.
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
 * Sets the faults of a stand-in.
 *
 * @param url - base URL
 * @param faults - replaces all faults of the stand-in
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
  if (!response.ok) throw new Error(`faults: ${response.status} ${await response.text()}`);
};
