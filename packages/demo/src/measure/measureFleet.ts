/** Measures the cost of a fleet of real processes while idle and during a batch job. */
import { setTimeout as sleep } from 'node:timers/promises';
import OpenAI from 'openai';
import { createBatchLines } from '../launch/createBatchLines.js';
import { startFleet, type Fleet, type FleetHost } from '../launch/Fleet.js';
import { waitUntil } from '../launch/waitUntil.js';
import { readCpuSeconds, readResidentMib } from './readProcess.js';

/** Operations on the table, as a count or per second. */
export interface TableOperations {
  readonly reads: number;
  readonly writes: number;
}

/** Cost of an idle fleet. */
export interface IdleCost {
  readonly engines: number;
  /** Operations per second. */
  readonly table: TableOperations;
  /** Mean CPU use of an entry host, relative to one core. Unit: percent. */
  readonly entryCpuPercent: number;
  /** Mean CPU use of an agent, relative to one core. Unit: percent. */
  readonly agentCpuPercent: number;
  /** Mean resident memory of an entry host. Unit: MiB. */
  readonly entryMib: number;
  /** Mean resident memory of an agent. Unit: MiB. */
  readonly agentMib: number;
}

/** Cost of a batch job. */
export interface JobCost {
  readonly items: number;
  readonly seconds: number;
  /** Number of operations, less those that the idle fleet makes in the same time. */
  readonly table: TableOperations;
}

const SETTLE_MS = 8000;
const SAMPLE_MS = 15_000;
const JOB_TIMEOUT_MS = 120_000;

const readTableOperations = async (fleet: Fleet): Promise<TableOperations> => {
  const response = await fetch(`${fleet.standins.table}/_standin/stats`);
  return (await response.json()) as TableOperations;
};

const mean = (values: readonly number[]): number =>
  values.reduce((sum, value) => sum + value, 0) / values.length;

const readMean = async (
  hosts: readonly FleetHost[],
  read: (pid: number) => Promise<number>,
): Promise<number> => mean(await Promise.all(hosts.map((host) => read(host.process.pid))));

/**
 * Measures an idle fleet once it has settled.
 *
 * @param fleet - a running fleet
 * @returns the cost of the idle fleet
 */
export const measureIdle = async (fleet: Fleet): Promise<IdleCost> => {
  await sleep(SETTLE_MS);
  const startedAt = performance.now();
  const before = await readTableOperations(fleet);
  const entryBefore = await readMean(fleet.entries, readCpuSeconds);
  const agentBefore = await readMean(fleet.agents, readCpuSeconds);
  await sleep(SAMPLE_MS);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = await readTableOperations(fleet);
  const toPercent = (cpuSeconds: number): number => (100 * cpuSeconds) / seconds;
  return {
    engines: fleet.standins.engines.length,
    table: {
      reads: (after.reads - before.reads) / seconds,
      writes: (after.writes - before.writes) / seconds,
    },
    entryCpuPercent: toPercent((await readMean(fleet.entries, readCpuSeconds)) - entryBefore),
    agentCpuPercent: toPercent((await readMean(fleet.agents, readCpuSeconds)) - agentBefore),
    entryMib: await readMean(fleet.entries, readResidentMib),
    agentMib: await readMean(fleet.agents, readResidentMib),
  };
};

const runJob = async (fleet: Fleet, items: number): Promise<void> => {
  const account = fleet.deployment.accounts[0] ?? '';
  const client = new OpenAI({
    baseURL: `${fleet.entries[0]?.url ?? ''}/v1`,
    apiKey: fleet.keys.get(account)?.secret ?? '',
    maxRetries: 0,
  });
  const { model } = fleet.deployment;
  const lines = createBatchLines(model, items, 1, (index) => `window ${index}`);
  const file = await client.files.create({
    purpose: 'batch',
    file: new File([lines.join('\n')], 'items.jsonl'),
  });
  const job = await client.batches.create({
    input_file_id: file.id,
    endpoint: '/v1/chat/completions',
    completion_window: '24h',
  });
  await waitUntil('completion of the job', JOB_TIMEOUT_MS, async () => {
    const { status } = await client.batches.retrieve(job.id);
    return status === 'completed';
  });
};

/**
 * Runs a batch job on an otherwise idle fleet and measures its cost.
 *
 * @param fleet - a running fleet
 * @param items - number of items
 * @param idleTable - table operations per second of the idle fleet
 * @returns the cost of the job
 */
export const measureJob = async (
  fleet: Fleet,
  items: number,
  idleTable: TableOperations,
): Promise<JobCost> => {
  const before = await readTableOperations(fleet);
  const startedAt = performance.now();
  await runJob(fleet, items);
  const seconds = (performance.now() - startedAt) / 1000;
  const after = await readTableOperations(fleet);
  return {
    items,
    seconds,
    table: {
      reads: after.reads - before.reads - idleTable.reads * seconds,
      writes: after.writes - before.writes - idleTable.writes * seconds,
    },
  };
};

/**
 * Starts a fleet, runs a function with it and stops the fleet.
 *
 * @param engines - number of engines
 * @param run - function that gets the running fleet
 * @returns the result of `run`
 */
export const withFleet = async <Outcome>(
  engines: number,
  run: (fleet: Fleet) => Promise<Outcome>,
): Promise<Outcome> => {
  const fleet = await startFleet({ deployment: 'laminas', verbose: false, engines });
  try {
    return await run(fleet);
  } finally {
    await fleet.stop();
  }
};
