/** Schema of an experiment file. */
import { deployments, type DeploymentName } from '@jacinthlug/demo/launch/deployments';
import { inheritedSettings } from '@jacinthlug/settings/tree/declarations';
import * as z from 'zod';

const deploymentNames = Object.keys(deployments) as [DeploymentName, ...DeploymentName[]];

/** A number of tokens, drawn evenly from `min` to `max`. */
const tokenCountRange = z
  .strictObject({ min: z.int().positive(), max: z.int().positive() })
  .refine(({ min, max }) => min <= max, 'min is over max');

/** A number of tokens, drawn evenly. */
export type TokenCountRange = z.infer<typeof tokenCountRange>;

const bursts = z.strictObject({
  /** Time from the start of one burst to that of the next; the first starts after it. Unit: ms. */
  everyMs: z.int().positive(),
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
  /** Part of each prompt that is the same in all requests of the account, from 0 to 1. */
  sharedPrefix: z.number().min(0).max(1).default(0),
  /** Entry hosts that get the traffic, each with the same probability. */
  entries: z.array(z.string().min(1)).min(1).default(['entry-1', 'entry-2']),
});

/** Online traffic of one account. */
export type AccountTraffic = z.infer<typeof accountTraffic>;

const batchJob = z.strictObject({
  account: z.string().min(1),
  /** Submission, from the start of the load. Unit: ms. */
  atMs: z.int().nonnegative().default(0),
  items: z.int().positive().max(50_000),
  promptTokens: tokenCountRange.default({ min: 20, max: 20 }),
  outputTokens: tokenCountRange,
  /** Time from the submission after which the job counts as late. Unit: ms. */
  dueMs: z.int().positive(),
});

/** One batch job. */
export type BatchJobPlan = z.infer<typeof batchJob>;

const faultTiming = { atMs: z.int().nonnegative(), forMs: z.int().positive() };

const fault = z.discriminatedUnion('kind', [
  /** Delays each request to a stand-in, such as `engine-1` or `table`. */
  z.strictObject({
    kind: z.literal('slow'),
    ...faultTiming,
    standin: z.string(),
    delayMs: z.int().positive(),
  }),
  /** Cuts each connection to a stand-in. */
  z.strictObject({ kind: z.literal('cut'), ...faultTiming, standin: z.string() }),
  /** Cuts the table service and the object store. */
  z.strictObject({ kind: z.literal('platformDown'), ...faultTiming }),
  /** Kills a process, such as `agent-engine-1`, and starts it again after `forMs`. */
  z.strictObject({ kind: z.literal('kill'), ...faultTiming, process: z.string() }),
  /** Stops a process with SIGSTOP and resumes it after `forMs`. */
  z.strictObject({ kind: z.literal('freeze'), ...faultTiming, process: z.string() }),
  /** Sends SIGTERM to a process and starts it again after `forMs`. */
  z.strictObject({ kind: z.literal('terminate'), ...faultTiming, process: z.string() }),
]);

/** A fault at a given moment. */
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
  /** Settings of each agent. */
  agentSettings: z.record(z.string(), z.unknown()).default({}),
  /** Settings of each entry host. */
  entrySettings: z.record(z.string(), z.unknown()).default({}),
  /** Settings of nodes of the declaration tree, by path. */
  nodeSettings: z.record(z.string(), inheritedSettings.partial()).default({}),
  /** Options of each engine stand-in. */
  engine: engineOptions.default({}),
  /** Replaces fields of the traffic of accounts, by account. */
  accounts: z.record(z.string(), accountTraffic.partial()).default({}),
  omitBatch: z.boolean().default(false),
  omitOnline: z.boolean().default(false),
  omitFaults: z.boolean().default(false),
});

/** What one variant changes. */
export type Overrides = z.infer<typeof overrides>;

const MAX_VARIANTS = 3;

/** Schema of an experiment file. */
export const experiment = z.strictObject({
  name: z.string().regex(/^[a-z0-9-]+$/, 'not a name (a-z 0-9 -)'),
  /** The question that the experiment answers. */
  question: z.string().min(1),
  deployment: z.enum(deploymentNames),
  seed: z.int().nonnegative(),
  /** How long requests are sent. Unit: ms. */
  durationMs: z.int().min(1000).max(120_000),
  /** Requests that are to be sent before this are not counted. Unit: ms. */
  warmUpMs: z.int().nonnegative().default(1000),
  /** How long jobs may go on after the last request, so that late ones can complete. Unit: ms. */
  drainMs: z.int().nonnegative().default(0),
  rounds: z.int().positive().max(20).default(3),
  engine: engineOptions.default({}),
  /** Settings of nodes of the declaration tree in every variant, by path. */
  nodeSettings: z.record(z.string(), inheritedSettings.partial()).default({}),
  accounts: z.record(z.string(), accountTraffic),
  batch: z.array(batchJob).default([]),
  faults: z.array(fault).default([]),
  /** Run alternating; the first that has a metric is the base of its ratios. */
  variants: z
    .record(z.string().min(1), overrides)
    .refine(
      (variants) => [1, 2, MAX_VARIANTS].includes(Object.keys(variants).length),
      `one to ${MAX_VARIANTS} variants`,
    ),
});

/** An experiment. */
export type Experiment = z.infer<typeof experiment>;
