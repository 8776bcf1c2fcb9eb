/** Schema of an experiment file. */
import { deployments, type DeploymentName } from '@jacinthlug/demo/launch/deployments';
import { inheritedSettings } from '@jacinthlug/settings/tree/declarations';
import * as z from 'zod';

const deploymentNames = Object.keys(deployments) as [DeploymentName, ...DeploymentName[]];

/** Range of token counts, drawn uniformly from `min` to `max`, both included. */
const tokenCountRange = z
  .strictObject({ min: z.int().positive(), max: z.int().positive() })
  .refine(({ min, max }) => min <= max, 'min is over max');

/** Range of token counts. */
export type TokenCountRange = z.infer<typeof tokenCountRange>;

const bursts = z.strictObject({
  /** Time between the starts of two bursts, and before the first burst. Unit: ms. */
  everyMs: z.int().positive(),
  /** Duration of a burst. Unit: ms. */
  lengthMs: z.int().positive(),
  /** Rate during a burst. Unit: requests/s. */
  rate: z.number().positive(),
});

const accountTraffic = z.strictObject({
  /** Rate outside bursts. Unit: requests/s. */
  rate: z.number().positive(),
  bursts: bursts.optional(),
  promptTokens: tokenCountRange,
  outputTokens: tokenCountRange,
  /** Fraction of each prompt that all requests of the account share as prefix, from 0 to 1. */
  sharedPrefix: z.number().min(0).max(1).default(0),
  /** Entry hosts that receive the requests, each with the same probability. */
  entries: z.array(z.string().min(1)).min(1).default(['entry-1', 'entry-2']),
});

/** Online traffic of one account. */
export type AccountTraffic = z.infer<typeof accountTraffic>;

const batchJob = z.strictObject({
  account: z.string().min(1),
  /** Time of submission after the start of the load. Unit: ms. */
  atMs: z.int().nonnegative().default(0),
  items: z.int().positive().max(50_000),
  promptTokens: tokenCountRange.default({ min: 20, max: 20 }),
  outputTokens: tokenCountRange,
  /** Time after the submission at which an incomplete job counts as late. Unit: ms. */
  dueMs: z.int().positive(),
});

/** One batch job. */
export type BatchJobPlan = z.infer<typeof batchJob>;

/** Start of a fault after the start of the load, and its duration. Unit: ms. */
const faultTiming = { atMs: z.int().nonnegative(), forMs: z.int().positive() };

const fault = z.discriminatedUnion('kind', [
  /** Delays every request to a stand-in, such as `engine-1` or `table`. */
  z.strictObject({
    kind: z.literal('slow'),
    ...faultTiming,
    standin: z.string(),
    delayMs: z.int().positive(),
  }),
  /** Closes every connection to a stand-in. */
  z.strictObject({ kind: z.literal('cut'), ...faultTiming, standin: z.string() }),
  /** Closes every connection to the table service and the object store. */
  z.strictObject({ kind: z.literal('platformDown'), ...faultTiming }),
  /** Kills a process, such as `agent-engine-1`, and restarts it after `forMs`. */
  z.strictObject({ kind: z.literal('kill'), ...faultTiming, process: z.string() }),
  /** Suspends a process with SIGSTOP and resumes it after `forMs`. */
  z.strictObject({ kind: z.literal('freeze'), ...faultTiming, process: z.string() }),
  /** Sends SIGTERM to a process and restarts it after `forMs`, once it has stopped. */
  z.strictObject({ kind: z.literal('terminate'), ...faultTiming, process: z.string() }),
]);

/** A fault to inject at a given time. */
export type Fault = z.infer<typeof fault>;

const engineOptions = z
  .strictObject({
    tokenMs: z.number().positive(),
    tokenMsPerRunning: z.number().nonnegative(),
    prefillMsPerToken: z.number().nonnegative(),
    cacheTokens: z.int().nonnegative(),
    loadLagMs: z.int().positive(),
    loadModelMs: z.int().nonnegative(),
    restartMs: z.int().nonnegative(),
  })
  .partial();

const overrides = z.strictObject({
  /** Settings of every agent. */
  agentSettings: z.record(z.string(), z.unknown()).default({}),
  /** Settings of every entry host. */
  entrySettings: z.record(z.string(), z.unknown()).default({}),
  /** Settings of nodes in the declaration tree, by path. */
  nodeSettings: z.record(z.string(), inheritedSettings.partial()).default({}),
  /** Options of every engine stand-in. */
  engine: engineOptions.default({}),
  /** Fields of the traffic that are replaced, by account. */
  accounts: z.record(z.string(), accountTraffic.partial()).default({}),
  omitBatch: z.boolean().default(false),
  omitOnline: z.boolean().default(false),
  omitFaults: z.boolean().default(false),
});

/** Changes that one variant makes to the experiment. */
export type Overrides = z.infer<typeof overrides>;

const MAX_VARIANTS = 3;

/** Schema of an experiment file. */
export const experiment = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'not a name (a-z 0-9 -)'),
  /** The question that the experiment answers. */
  question: z.string().min(1),
  deployment: z.enum(deploymentNames),
  seed: z.int().nonnegative(),
  /** Duration of the load, during which requests are sent. Unit: ms. */
  durationMs: z.int().min(1000).max(120_000),
  /** Requests scheduled within this time after the start of the load are not counted. Unit: ms. */
  warmUpMs: z.int().nonnegative().default(1000),
  /** Time that jobs have to complete after the end of the load. Unit: ms. */
  drainMs: z.int().nonnegative().default(0),
  rounds: z.int().positive().max(20).default(3),
  engine: engineOptions.default({}),
  /** Settings of nodes in the declaration tree for every variant, by path. */
  nodeSettings: z.record(z.string(), inheritedSettings.partial()).default({}),
  accounts: z.record(z.string(), accountTraffic),
  batch: z.array(batchJob).default([]),
  faults: z.array(fault).default([]),
  /** Run alternately; ratios of a metric are relative to the first variant that has it. */
  variants: z
    .record(z.string().min(1), overrides)
    .refine(
      (variants) => [1, 2, MAX_VARIANTS].includes(Object.keys(variants).length),
      `one to ${MAX_VARIANTS} variants`,
    ),
});

/** An experiment. */
export type Experiment = z.infer<typeof experiment>;
