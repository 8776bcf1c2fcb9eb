/** Stand-in for the host list: Prometheus HTTP service discovery with a configurable lag. */
import {
  createJsonResponse,
  startStandinServer,
  type Standin,
  type StandinAddress,
} from '../core/startStandinServer.js';

/** A version of the host list. */
interface HostListVersion {
  readonly hosts: readonly unknown[];
  /** Monotonic time of the `PUT` request. Unit: ms. */
  readonly putAt: number;
}

const PATHS: ReadonlySet<string> = new Set(['/', '/hosts']);

/**
 * Starts the stand-in for the host list. `GET` returns the list and `PUT` replaces it, at `/` and
 * `/hosts`; the fault `lagMs` delays the time at which a replacement becomes visible.
 *
 * @param address - address to listen on
 * @returns the running stand-in
 */
export const startHostsStandin = async (address: StandinAddress): Promise<Standin> => {
  const versions: HostListVersion[] = [{ hosts: [], putAt: -Infinity }];
  let visibleIndex = 0;

  /** Selects the newest list older than the lag; a longer lag does not bring back an older list. */
  const refresh = (lagMs: number): void => {
    const visibleUntil = performance.now() - lagMs;
    visibleIndex = Math.max(
      visibleIndex,
      versions.findLastIndex(({ putAt }) => putAt <= visibleUntil),
    );
  };

  return startStandinServer(address, {
    isWrite: ({ method }) => method === 'PUT',
    handle({ method, path, body }, { lagMs }) {
      if (!PATHS.has(path)) return createJsonResponse(404, { message: 'unknown path' });
      if (method === 'GET') {
        refresh(lagMs);
        return createJsonResponse(200, versions[visibleIndex]?.hosts);
      }
      if (method !== 'PUT') return createJsonResponse(405, { message: 'method not allowed' });
      const hosts: unknown = JSON.parse(body.toString());
      if (!Array.isArray(hosts))
        return createJsonResponse(400, { message: 'the body is not an array' });
      versions.push({ hosts, putAt: performance.now() });
      refresh(lagMs);
      return createJsonResponse(200, {});
    },
    refuse: (mode) =>
      createJsonResponse(typeof mode === 'number' ? mode : 503, { message: 'refused' }),
  });
};
