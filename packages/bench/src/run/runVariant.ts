/** Runs a variant once, on a fleet of its own. */
import { once } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import { startFleet, type Fleet } from '@jacinthlug/demo/launch/Fleet';
import { resolveSettings } from '@jacinthlug/settings/tree/resolveSettings';
import type { Experiment, Overrides } from '../experiment/experiment.js';
import { runFault } from '../faults/runFault.js';
import { countBatchItems, type BatchItemCounts } from '../load/countBatchItems.js';
import { prepareJob, runBatchJob } from '../load/runBatchJob.js';
import { runOnlineLoad } from '../load/runOnlineLoad.js';
import type { RunFigures } from '../report/RunFigures.js';
import { summarizeRun } from '../report/summarizeRun.js';
import { markWithinRate } from '../schedule/markWithinRate.js';
import { planRequests } from '../schedule/planRequests.js';
import { applyOverrides } from './applyOverrides.js';

/** Delay before the load starts, for connections and the first rate shares. Unit: ms. */
const STARTUP_DELAY_MS = 500;

/** Converts `tokenMs` to `--token-ms`. */
const toOptionName = (name: string): string =>
  `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

const createEngineArgs = (engine: Experiment['engine']): string[] =>
  Object.entries(engine).flatMap(([name, value]) => [toOptionName(name), String(value)]);

const resolveAccountSettings = (fleet: Fleet, account: string) =>
  resolveSettings(fleet.declarations, `accounts/${account}`);

/** Counts the batch items that the engines ran between the end of the warm-up and the end of the load. */
const countItemsInWindow = async (
  fleet: Fleet,
  { batch, warmUpMs, durationMs }: Experiment,
  startAt: number,
): Promise<BatchItemCounts> => {
  if (batch.length === 0) return { completed: 0, cancelled: 0 };
  const sleepUntil = (atMs: number) => sleep(Math.max(0, startAt + atMs - performance.now()));
  await sleepUntil(warmUpMs);
  const before = await countBatchItems(fleet);
  await sleepUntil(durationMs);
  const after = await countBatchItems(fleet);
  return {
    completed: after.completed - before.completed,
    cancelled: after.cancelled - before.cancelled,
  };
};

const runLoad = async (fleet: Fleet, plan: Experiment): Promise<RunFigures> => {
  const { seed, durationMs, warmUpMs, drainMs } = plan;
  const requests = planRequests(plan);
  const within = markWithinRate(requests, (account) => resolveAccountSettings(fleet, account));
  const prepared = plan.batch.map((job, index) => prepareJob(fleet, job, index, seed));
  await sleep(STARTUP_DELAY_MS);
  const startAt = performance.now();
  const endAt = startAt + durationMs + drainMs;
  const [online, jobs, items] = await Promise.all([
    runOnlineLoad(fleet, requests, startAt),
    Promise.all(prepared.map((job) => runBatchJob(job, startAt, endAt))),
    countItemsInWindow(fleet, plan, startAt),
    ...plan.faults.map((fault) => runFault(fleet, fault, startAt)),
  ]);
  const refusal = jobs.find((job) => job.refusal !== undefined)?.refusal;
  if (refusal !== undefined) process.stderr.write(`a batch job was not accepted: ${refusal}\n`);
  const chats = requests.flatMap((request, index) => {
    const outcome = online.outcomes[index];
    if (!outcome || request.atMs < warmUpMs) return [];
    return { request, isWithinRate: within[index] ?? false, outcome };
  });
  return summarizeRun({
    chats,
    sendLagsMs: online.sendLagsMs.filter((_, index) => (requests[index]?.atMs ?? 0) >= warmUpMs),
    jobs,
    items,
    windowMs: durationMs - warmUpMs,
    getWeight: (account) => resolveAccountSettings(fleet, account).weight,
  });
};

/** Options of a run of a variant. */
export interface VariantOptions {
  /** Whether to print the logs of the fleet to standard error. */
  readonly verbose: boolean;
  /** Aborts the run and stops its processes. */
  readonly signal: AbortSignal;
}

/**
 * Runs a variant once.
 *
 * @param experiment - experiment as in its file
 * @param overrides - overrides of the variant
 * @param options - options of the run
 * @returns figures of the run
 * @throws the reason of the signal when the run is aborted
 */
export const runVariant = async (
  experiment: Experiment,
  overrides: Overrides,
  { verbose, signal }: VariantOptions,
): Promise<RunFigures> => {
  const plan = applyOverrides(experiment, overrides);
  const fleet = await startFleet({
    deployment: plan.deployment,
    verbose,
    engineArgs: createEngineArgs(plan.engine),
    agentSettings: overrides.agentSettings,
    entrySettings: overrides.entrySettings,
    nodeSettings: plan.nodeSettings,
  });
  try {
    signal.throwIfAborted();
    const aborted = once(signal, 'abort').then(() => {
      throw signal.reason;
    });
    return await Promise.race([runLoad(fleet, plan), aborted]);
  } finally {
    const uncleanStops = await fleet.stop();
    if (uncleanStops.length > 0)
      process.stderr.write(`processes without a clean stop: ${uncleanStops.join(', ')}\n`);
  }
};
