/** Stand-in for the host list: Prometheus HTTP service discovery with a settable lag. */
import {
  createJsonResponse,
  startStandinServer,
  type Standin,
  type StandinAddress,
} from '../core/startStandinServer.js';

/** A list as it was put. */
interface HostListVersion {
  readonly hosts: readonly unknown[];
  /** Monotonic time. Unit: ms. */
  readonly putAt: number;
}

const PATHS: ReadonlySet<string> = new Set(['/', '/hosts']);

/**
 * Starts the stand-in for the host list. `GET` answers the list and `PUT` replaces it, at `/` and
 * `/hosts`; the fault `lagMs` sets how late a replacement shows.
 *
 * @param address - where to listen
 * @returns the running stand-in
 */
export const startHostsStandin = async (address: StandinAddress): Promise<Standin> => {
  const lists: HostListVersion[] = [{ hosts: [], putAt: -Infinity }];
  let shown = 0;

  /** Moves on to the newest list older than the lag; a raised lag does not bring back older ones. */
  const refresh = (lagMs: number): void => {
    const visibleUntil = performance.now() - lagMs;
    shown = Math.max(
      shown,
      lists.findLastIndex(({ putAt }) => putAt <= visibleUntil),
    );
  };

  return startStandinServer(address, {
    isWrite: ({ method }) => method === 'PUT',
    handle({ method, path, body }, { lagMs }) {
      if (!PATHS.has(path)) return createJsonResponse(404, { message: 'no such path' });
      if (method === 'GET') {
        refresh(lagMs);
        return createJsonResponse(200, lists[shown]?.hosts);
      }
      if (method !== 'PUT') return createJsonResponse(405, { message: 'no such method' });
      const hosts: unknown = JSON.parse(body.toString());
      if (!Array.isArray(hosts)) return createJsonResponse(400, { message: 'not an array' });
      lists.push({ hosts, putAt: performance.now() });
      refresh(lagMs);
      return createJsonResponse(200, {});
    },
    refuse: (wanted) =>
      createJsonResponse(typeof wanted === 'number' ? wanted : 503, { message: 'refused' }),
  });
};
