/** Messages of the control procedures. Receivers convert durations in messages to deadlines. */
import { configuration } from '@jacinthlug/settings/tree/configuration';
import * as z from 'zod';
import { member } from './members.js';

/** Schema of {@link Suspect}. */
export const suspect = z.object({
  /** Hash of account, path and body of the request. */
  fingerprint: z.string(),
  /** Number of targets that crashed while they ran the request. */
  crashes: z.int().positive(),
  /** Wall-clock time when the record expires. Unit: ms since 1970. */
  expiresAt: z.number(),
});

/** A request that was running when a target crashed. */
export type Suspect = z.infer<typeof suspect>;

/** Schema of {@link ConfigurationMode}. */
export const configurationMode = z.enum(['starting', 'confirmed', 'outage', 'isolated']);

/** What a process knows about the freshness of its configuration. */
export type ConfigurationMode = z.infer<typeof configurationMode>;

/** Schema of {@link ConfigurationWatchRequest}. */
export const configurationWatchRequest = z.object({
  /** Name of the requesting process. */
  asker: z.string(),
  /** Highest version that the requester holds; 0 when none. */
  version: z.int().nonnegative(),
  /** Version of the suspect list that the requester holds; incremented with each change. */
  suspectsVersion: z.int().nonnegative(),
  /** Digest of the member list that the requester holds; absent when it needs no member list. */
  membersDigest: z.string().optional(),
  /** Maximum time that the response may be delayed. Unit: ms. */
  holdMs: z.int().nonnegative(),
});

/** Request of `configuration.watch`, a long poll. */
export type ConfigurationWatchRequest = z.infer<typeof configurationWatchRequest>;

/** Schema of {@link ConfigurationState}. */
export const configurationState = z.object({
  version: z.int().nonnegative(),
  mode: configurationMode,
  /** Whether the responder has a proof of freshness, its own or from a peer, that is at most 1.5 s old. */
  reachesTable: z.boolean(),
  /** Time for which the response was delayed. Unit: ms. */
  heldMs: z.number().nonnegative(),
  /** Age of the proof that the version is current, at the time of the response; null without proof. Unit: ms. */
  ageMs: z.number().nonnegative().nullable(),
  failureDomain: z.string(),
  /** Present when the requester's version is lower. */
  configuration: configuration.optional(),
  suspectsVersion: z.int().nonnegative(),
  /** Present when the requester's suspect list is older. */
  suspects: z.array(suspect).optional(),
  /** Members that the responder knows; present when the requester's digest differs. */
  members: z.array(member).optional(),
});

/** Response of `configuration.watch`. */
export type ConfigurationState = z.infer<typeof configurationState>;

/** Schema of {@link TargetLoadReport}. */
export const targetLoadReport = z.object({
  target: z.string(),
  service: z.string(),
  state: z.enum(['serving', 'leaving', 'down']),
  /** Online requests that run on the target. */
  running: z.int().nonnegative(),
  /** Online requests that are queued at the agent. */
  waiting: z.int().nonnegative(),
  /** Batch items that run on the target. */
  batch: z.int().nonnegative(),
  /** Maximum number of concurrent requests on the target. */
  concurrency: z.int().positive(),
  /** Expected wait of a new online request. Unit: ms. */
  expectedWaitMs: z.number().nonnegative(),
  /** Models that the target currently serves. */
  models: z.array(z.string()),
});

/** Load of a target, as reported by its agent. */
export type TargetLoadReport = z.infer<typeof targetLoadReport>;

const demand = z.object({
  account: z.string(),
  /** Average arrival rate. Unit: requests a second. */
  arrivalRate: z.number().nonnegative(),
  /** Requests refused since the last message. */
  refused: z.int().nonnegative(),
  /** Remaining tokens of the share. */
  tokens: z.number().nonnegative(),
  /** Rate of the current share; 0 when none. Unit: requests a second. */
  heldRate: z.number().nonnegative(),
  /** Burst capacity of the current share; 0 when none. Unit: requests. */
  heldCapacity: z.number().nonnegative(),
  /** Generation of the current share; 0 when none. */
  generation: z.int().nonnegative(),
});

/** A holder's demand for one account. */
export type Demand = z.infer<typeof demand>;

/** Schema of {@link ShareRequest}. */
export const shareRequest = z.object({
  /** Name and start time of the requesting process, so that a restarted process is a new holder. */
  incarnation: z.string(),
  /** Incremented with each request of the incarnation for the shard; an out-of-order request is dropped. */
  sequence: z.int().nonnegative(),
  shard: z.int().min(0).max(31),
  demands: z.array(demand),
  /** Accounts whose share the holder returns; their tokens are credited to the home. */
  released: z.array(z.object({ account: z.string(), tokens: z.number().nonnegative() })),
});

/** Request of `rates.share`. */
export type ShareRequest = z.infer<typeof shareRequest>;

const share = z.object({
  account: z.string(),
  generation: z.int().positive(),
  /** Unit: requests a second. */
  rate: z.number().nonnegative(),
  /** Unit: requests. */
  capacity: z.number().nonnegative(),
  /** Tokens that the home took from its own bucket for the holder. */
  tokens: z.number().nonnegative(),
  /** Validity, counted from when the request was sent. Unit: ms. */
  validMs: z.number().positive(),
});

/** A holder's part of the rate and burst of an account. */
export type Share = z.infer<typeof share>;

/** Schema of {@link ShareResponse}. */
export const shareResponse = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted'), shares: z.array(share) }),
  z.object({ kind: z.literal('not-home'), home: z.string().optional() }),
]);

/** Response of `rates.share`. */
export type ShareResponse = z.infer<typeof shareResponse>;

/** Schema of {@link CancelNotice}. */
export const cancelNotice = z.object({ job: z.string() });

/** Notice that a job was cancelled. */
export type CancelNotice = z.infer<typeof cancelNotice>;

/** Schema of {@link CrashReport}. */
export const crashReport = z.object({
  target: z.string(),
  fingerprints: z.array(z.string()).max(1000),
});

/** Requests that were running when a target crashed. */
export type CrashReport = z.infer<typeof crashReport>;

/** Schema of {@link SuspectNotice}. */
export const suspectNotice = z.object({ suspects: z.array(suspect).max(1000) });

/** Changed suspect records, sent to the other entry hosts immediately. */
export type SuspectNotice = z.infer<typeof suspectNotice>;
