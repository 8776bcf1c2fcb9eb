/** Cost of a whole fleet of real processes: idle, and for a batch job. */
import { setTimeout as sleep } from 'node:timers/promises';
import OpenAI from 'openai';
import { createBatchLines } from '../launch/createBatchLines.js';
import { startFleet, type Fleet, type FleetHost } from '../launch/Fleet.js';
import { waitUntil } from '../launch/waitUntil.js';
import { readCpuSeconds, readResidentMib } from './readProcess.js';

/** Operations of the table service. */
export interface TableOperations {
  readonly reads: number;
  readonly writes: number;
}

/** Cost of an idle fleet. */
export interface IdleCost {
  readonly engines: number;
  /** Operations a second. */
  readonly table: TableOperations;
  /** Mean share of a core. Unit: percent. */
  readonly entryCpuPercent: number;
  readonly agentCpuPercent: number;
  /** Mean resident memory. Unit: MiB. */
  readonly entryMib: number;
  readonly agentMib: number;
}

/** Cost of a batch job. */
export interface JobCost {
  readonly items: number;
  readonly seconds: number;
  /** Operations beyond those of the idle fleet. */
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
 * Measures an idle fleet for a while.
 *
 * @param fleet - a running fleet
 * @returns the cost
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
  const percentOf = (used: number): number => (100 * used) / seconds;
  return {
    engines: fleet.standins.engines.length,
    table: {
      reads: (after.reads - before.reads) / seconds,
      writes: (after.writes - before.writes) / seconds,
    },
    entryCpuPercent: percentOf((await readMean(fleet.entries, readCpuSeconds)) - entryBefore),
    agentCpuPercent: percentOf((await readMean(fleet.agents, readCpuSeconds)) - agentBefore),
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
  await waitUntil('completed job', JOB_TIMEOUT_MS, async () => {
    const { status } = await client.batches.retrieve(job.id);
    return status === 'completed';
  });
};

/**
 * Measures a batch job on an otherwise idle fleet.
 *
 * @param fleet - a running fleet
 * @param items - number of items
 * @param idle - operations a second of the idle fleet
 * @returns the cost
 */
export const measureJob = async (
  fleet: Fleet,
  items: number,
  idle: TableOperations,
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
      reads: after.reads - before.reads - idle.reads * seconds,
      writes: after.writes - before.writes - idle.writes * seconds,
    },
  };
};

/**
 * Starts a fleet, uses it and stops it.
 *
 * @param engines - number of engines
 * @param use - what is measured
 * @returns what `use` returns
 */
export const withFleet = async <Outcome>(
  engines: number,
  use: (fleet: Fleet) => Promise<Outcome>,
): Promise<Outcome> => {
  const fleet = await startFleet({ deployment: 'laminas', verbose: false, engines });
  try {
    return await use(fleet);
  } finally {
    await fleet.stop();
  }
};
