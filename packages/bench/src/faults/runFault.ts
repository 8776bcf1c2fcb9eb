/** Injects a fault and removes it again. */
import { setTimeout as sleep } from 'node:timers/promises';
import type { Fleet, FleetHost } from '@jacinthlug/demo/launch/Fleet';
import type { Fault } from '../experiment/experiment.js';

const getStandinUrl = (fleet: Fleet, name: string): string => {
  const { engines, services, table, objects, hosts } = fleet.standins;
  const urls: Record<string, string> = { table, objects, hosts };
  engines.forEach((url, index) => {
    urls[`engine-${index + 1}`] = url;
  });
  services.forEach((url, index) => {
    urls[`service-${index + 1}`] = url;
  });
  const url = urls[name];
  if (url === undefined) throw new Error(`no stand-in "${name}"`);
  return url;
};

const findHost = (fleet: Fleet, name: string): FleetHost => {
  const host = [...fleet.entries, ...fleet.agents].find((candidate) => candidate.name === name);
  if (!host) throw new Error(`no process "${name}"`);
  return host;
};

const setFaults = async (url: string, faults: object): Promise<void> => {
  const response = await fetch(`${url}/_standin/faults`, {
    method: 'POST',
    headers: { 'content-type': 'application/json' },
    body: JSON.stringify(faults),
  });
  if (!response.ok) throw new Error(`setting faults of ${url} failed: HTTP ${response.status}`);
};

/** Sets faults of stand-ins and clears them after a duration. */
const setFaultsForDuration = async (
  urls: readonly string[],
  faults: object,
  forMs: number,
): Promise<void> => {
  await Promise.all(urls.map((url) => setFaults(url, faults)));
  await sleep(forMs);
  await Promise.all(urls.map((url) => setFaults(url, { delayMs: 0, down: false })));
};

/** Stops a process and restarts it once `forMs` have passed and `stop` has completed. */
const stopAndRestart = async (
  host: FleetHost,
  forMs: number,
  stop: () => unknown,
): Promise<void> => {
  await Promise.all([stop(), sleep(forMs)]);
  host.restart();
};

/** Timeout for a process to stop after SIGTERM. Unit: ms. */
const STOP_TIMEOUT_MS = 15_000;

const faultInjectors: {
  readonly [Kind in Fault['kind']]: (
    fleet: Fleet,
    fault: Extract<Fault, { kind: Kind }>,
  ) => Promise<void>;
} = {
  slow: (fleet, { standin, delayMs, forMs }) =>
    setFaultsForDuration([getStandinUrl(fleet, standin)], { delayMs }, forMs),
  cut: (fleet, { standin, forMs }) =>
    setFaultsForDuration([getStandinUrl(fleet, standin)], { down: true }, forMs),
  platformDown: (fleet, { forMs }) =>
    setFaultsForDuration([fleet.standins.table, fleet.standins.objects], { down: true }, forMs),
  kill: (fleet, { process, forMs }) => {
    const host = findHost(fleet, process);
    return stopAndRestart(host, forMs, () => host.process.signal('SIGKILL'));
  },
  terminate: (fleet, { process, forMs }) => {
    const host = findHost(fleet, process);
    return stopAndRestart(host, forMs, () => host.process.stop(STOP_TIMEOUT_MS));
  },
  async freeze(fleet, { process, forMs }) {
    const host = findHost(fleet, process);
    host.process.signal('SIGSTOP');
    await sleep(forMs);
    host.process.signal('SIGCONT');
  },
};

/**
 * Injects a fault at its start time and removes it after its duration.
 *
 * @param fleet - the fleet
 * @param fault - the fault
 * @param startAt - start of the load, monotonic. Unit: ms
 * @returns when the fault was removed
 */
export const runFault = async (fleet: Fleet, fault: Fault, startAt: number): Promise<void> => {
  await sleep(Math.max(0, startAt + fault.atMs - performance.now()));
  const inject = faultInjectors[fault.kind] as (fleet: Fleet, fault: Fault) => Promise<void>;
  await inject(fleet, fault);
};
