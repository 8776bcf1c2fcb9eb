/** Opens a crowd of callers against the entry hosts of a fleet, and records what becomes of its processes. */
import { setTimeout as sleep } from 'node:timers/promises';
import { CrowdCaller } from '@jacinthlug/standins/crowds/CrowdCaller';
import { crowdForms } from '@jacinthlug/standins/crowds/crowdForms';
import { readPeakBytes, SocketCount } from '@jacinthlug/standins/crowds/ProcessUsage';
import { startFleet, type Fleet, type FleetHost } from '../../src/launch/Fleet.js';
import { getKey, send } from '../support/FleetWorld.js';

/** Maximum size of a body on online routes in the tests; that of the forms of the crowd. Unit: bytes. */
const BODY_LIMIT_BYTES = 4_194_304;

/** Size of the body of an ordinary request. Unit: bytes. */
const ORDINARY_BODY_BYTES = 1500;

/** Account of the crowd, and that of ordinary callers. */
const CROWD_ACCOUNT = 'web';
const ORDINARY_ACCOUNT = 'whatsapp';

/** Delay of each response of the plain service, for which an agent holds the body. Unit: ms. */
const SERVICE_DELAY_MS = 500;

/** Paths by kind of route. */
const paths: Readonly<Record<string, string>> = {
  declared: '/agenda/availability',
  chat: '/v1/chat/completions',
  upload: '/v1/files',
  batch: '/v1/batches',
};

/** Limits of a process, as in its settings file. */
interface ProcessLimits {
  readonly memoryMb: number;
  readonly descriptors: number;
}

/** What a crowd does. */
export interface EntryCrowdPlan {
  readonly callers: number;
  /** Name of one of the forms. */
  readonly form: string;
  /** Kind of route. */
  readonly route: string;
  /** Whether a valid key is sent. */
  readonly hasKey: boolean;
  /** Number of entry hosts that the callers take in turn. */
  readonly entries: number;
  /** Time for which the crowd stays open. Unit: ms. */
  readonly durationMs: number;
  readonly entryLimits: ProcessLimits;
  readonly agentLimits: ProcessLimits;
}

/** What was observed of a process. */
export interface ProcessObservation {
  readonly name: string;
  readonly role: 'entry' | 'agent';
  readonly hasEnded: boolean;
  /** Peak of the resident memory; NaN if the process has ended. Unit: bytes. */
  readonly peakBytes: number;
  readonly peakSockets: number;
}

/** What was observed. */
export interface EntryCrowdResult {
  readonly processes: readonly ProcessObservation[];
  /** Status of an ordinary request beside the crowd, and of one after it; 0 without a whole response. */
  readonly statusBeside: number;
  readonly statusAfter: number;
  /** Number of responses to the crowd by status. */
  readonly crowdStatuses: Readonly<Record<string, number>>;
}

const sendOrdinary = async (fleet: Fleet): Promise<number> => {
  const { secret } = getKey(fleet, ORDINARY_ACCOUNT);
  const body = { text: 'x'.repeat(ORDINARY_BODY_BYTES) };
  const response = await send(`${fleet.entries[0]?.url}${paths.declared}`, secret, body).catch(
    () => undefined,
  );
  return response?.status ?? 0;
};

const openCrowd = (fleet: Fleet, plan: EntryCrowdPlan): CrowdCaller[] => {
  const fields = [
    'content-type: multipart/form-data; boundary=x',
    ...(plan.hasKey ? [`authorization: Bearer ${getKey(fleet, CROWD_ACCOUNT).secret}`] : []),
  ];
  const callers = Array.from({ length: plan.callers }, (_, index) => {
    const { hostname, port } = new URL(fleet.entries[index % plan.entries]!.url!);
    return new CrowdCaller({
      address: { host: hostname, port: Number(port) },
      form: crowdForms[plan.form]!,
      path: paths[plan.route]!,
      createFields: () => fields,
    });
  });
  callers.forEach((caller) => caller.open());
  return callers;
};

const observeProcess = async (
  role: 'entry' | 'agent',
  { name, process: { pid, exitCode } }: FleetHost,
  { peak }: SocketCount,
): Promise<ProcessObservation> => {
  const peakBytes = await readPeakBytes(pid);
  const hasEnded = exitCode() !== null || Number.isNaN(peakBytes);
  return { name, role, hasEnded, peakBytes, peakSockets: peak };
};

/**
 * Runs a fleet beside a crowd.
 *
 * @param plan - what the crowd does
 * @returns what was observed
 */
export const runEntryCrowd = async (plan: EntryCrowdPlan): Promise<EntryCrowdResult> => {
  const fleet = await startFleet({
    deployment: 'small',
    verbose: process.env.FLEET_LOGS === 'true',
    engines: 1,
    entrySettings: { limits: plan.entryLimits },
    agentSettings: { limits: plan.agentLimits },
    nodeSettings: {
      '': { maxBodyBytes: BODY_LIMIT_BYTES },
      [`accounts/${CROWD_ACCOUNT}`]: { rate: 10_000, burst: 10_000 },
    },
  });
  const callers: CrowdCaller[] = [];
  const counts = new Map<FleetHost, SocketCount>();
  try {
    await Promise.all(
      fleet.standins.services.map((url) =>
        fetch(`${url}/_standin/faults`, {
          method: 'POST',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ delayMs: SERVICE_DELAY_MS }),
        }),
      ),
    );
    [...fleet.entries, ...fleet.agents].forEach((host) =>
      counts.set(host, new SocketCount(host.process.pid)),
    );
    callers.push(...openCrowd(fleet, plan));
    await sleep(plan.durationMs);
    const statusBeside = await sendOrdinary(fleet);
    callers.forEach((caller) => caller.close());
    const statusAfter = await sendOrdinary(fleet);
    const statuses = callers.flatMap((caller) => caller.statuses);
    return {
      processes: await Promise.all(
        [...counts].map(([host, count]) =>
          observeProcess(host.url === undefined ? 'agent' : 'entry', host, count),
        ),
      ),
      statusBeside,
      statusAfter,
      crowdStatuses: Object.fromEntries(
        [...new Set(statuses)].map((status) => [
          status,
          statuses.filter((each) => each === status).length,
        ]),
      ),
    };
  } finally {
    callers.forEach((caller) => caller.close());
    counts.forEach((count) => count.stop());
    await fleet.stop();
  }
};
