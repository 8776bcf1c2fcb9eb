/** Runs one variant once, on a fleet of its own. */
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

/** Time for connections and first rate shares before the load starts. Unit: ms. */
const STARTUP_DELAY_MS = 500;

/** Converts `tokenMs` to `--token-ms`. */
const toOptionName = (name: string): string =>
  `--${name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`)}`;

const createEngineArgs = (engine: Experiment['engine']): string[] =>
  Object.entries(engine).flatMap(([name, value]) => [toOptionName(name), String(value)]);

const resolveAccountSettings = (fleet: Fleet, account: string) =>
  resolveSettings(fleet.declarations, `accounts/${account}`);

/** Counts the batch items between the end of the warm-up and the end of the load. */
const countItemsInWindow = async (
  fleet: Fleet,
  { batch, warmUpMs, durationMs }: Experiment,
  startAt: number,
): Promise<BatchItemCounts> => {
  if (batch.length === 0) return { completed: 0, cancelled: 0 };
  const waitUntilMs = (atMs: number) => sleep(Math.max(0, startAt + atMs - performance.now()));
  await waitUntilMs(warmUpMs);
  const before = await countBatchItems(fleet);
  await waitUntilMs(durationMs);
  const after = await countBatchItems(fleet);
  return {
    completed: after.completed - before.completed,
    cancelled: after.cancelled - before.cancelled,
  };
};

const runLoad = async (fleet: Fleet, plan: Experiment): Promise<RunFigures> => {
  const { seed, durationMs, warmUpMs, drainMs } = plan;
  const sends = planRequests(plan);
  const within = markWithinRate(sends, (account) => resolveAccountSettings(fleet, account));
  const prepared = plan.batch.map((job, index) => prepareJob(fleet, job, index, seed));
  await sleep(STARTUP_DELAY_MS);
  const startAt = performance.now();
  const endAt = startAt + durationMs + drainMs;
  const [online, jobs, items] = await Promise.all([
    runOnlineLoad(fleet, sends, startAt),
    Promise.all(prepared.map((job) => runBatchJob(job, startAt, endAt))),
    countItemsInWindow(fleet, plan, startAt),
    ...plan.faults.map((fault) => runFault(fleet, fault, startAt)),
  ]);
  const refusal = jobs.find((job) => job.refusal !== undefined)?.refusal;
  if (refusal !== undefined) process.stderr.write(`a job was not accepted: ${refusal}\n`);
  const chats = sends.flatMap((send, index) => {
    const outcome = online.outcomes[index];
    if (!outcome || send.atMs < warmUpMs) return [];
    return { send, isWithinRate: within[index] ?? false, outcome };
  });
  return summarizeRun({
    chats,
    sendLagsMs: online.sendLagsMs.filter((_, index) => (sends[index]?.atMs ?? 0) >= warmUpMs),
    jobs,
    items,
    windowMs: durationMs - warmUpMs,
    getWeight: (account) => resolveAccountSettings(fleet, account).weight,
  });
};

/** How to run a variant. */
export interface VariantOptions {
  /** Whether logs of the fleet are passed on to standard error. */
  readonly verbose: boolean;
  /** Ends the run and its processes. */
  readonly signal: AbortSignal;
}

/**
 * Runs one variant once.
 *
 * @param experiment - as in its file
 * @param overrides - of the variant
 * @param options - how to run
 * @returns figures of the run
 * @throws the reason of the signal when it is aborted
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
    const unclean = await fleet.stop();
    if (unclean.length > 0) process.stderr.write(`no clean stop: ${unclean.join(', ')}\n`);
  }
};
