/** Messages of the control procedures. Durations in messages become deadlines on receipt. */
import { configuration } from '@jacinthlug/settings/tree/configuration';
import * as z from 'zod';
import { member } from './members.js';

/** Schema of a suspect. */
export const suspect = z.object({
  /** Hash of account, path and body of the request. */
  fingerprint: z.string(),
  /** Crashes of targets while they ran the request. */
  crashes: z.int().positive(),
  /** Wall-clock time after which the record counts no more. Unit: ms since 1970. */
  expiresAt: z.number(),
});

/** A request that was running when a target crashed. */
export type Suspect = z.infer<typeof suspect>;

/** What a process knows about the freshness of its configuration. */
export const configurationMode = z.enum(['starting', 'confirmed', 'outage', 'isolated']);

/** What a process knows about the freshness of its configuration. */
export type ConfigurationMode = z.infer<typeof configurationMode>;

/** Schema of the question of `configuration.watch`. */
export const configurationWatchRequest = z.object({
  /** Name of the asking process. */
  asker: z.string(),
  /** Highest version that the asker holds; 0 when none. */
  version: z.int().nonnegative(),
  /** Version of the suspect list that the asker holds; grows by one with each change. */
  suspectsVersion: z.int().nonnegative(),
  /** Digest of the member list that the asker holds; absent when it wants none. */
  membersDigest: z.string().optional(),
  /** Longest time that the answer may be held. Unit: ms. */
  holdMs: z.int().nonnegative(),
});

/** Question of `configuration.watch`. */
export type ConfigurationWatchRequest = z.infer<typeof configurationWatchRequest>;

/** Schema of the answer of `configuration.watch`. */
export const configurationState = z.object({
  version: z.int().nonnegative(),
  mode: configurationMode,
  /** Whether the answerer has a proof, of its own or by its peers, that is at most 1.5 s old. */
  reachesTable: z.boolean(),
  /** How long the answer was held. Unit: ms. */
  heldMs: z.number().nonnegative(),
  /** Age of the proof that the version is current, at the moment of answering; null without proof. Unit: ms. */
  ageMs: z.number().nonnegative().nullable(),
  failureDomain: z.string(),
  /** Present when the asker's version is lower. */
  configuration: configuration.optional(),
  suspectsVersion: z.int().nonnegative(),
  /** Present when the asker's list is older. */
  suspects: z.array(suspect).optional(),
  /** Members as the answerer knows them; present when the asker's digest differs. */
  members: z.array(member).optional(),
});

/** Answer of `configuration.watch`. */
export type ConfigurationState = z.infer<typeof configurationState>;

/** Schema of a load report. */
export const targetLoadReport = z.object({
  target: z.string(),
  service: z.string(),
  state: z.enum(['serving', 'leaving', 'down']),
  /** Online requests in the target. */
  running: z.int().nonnegative(),
  /** Online requests that wait at the agent. */
  waiting: z.int().nonnegative(),
  /** Batch items in the target. */
  batch: z.int().nonnegative(),
  /** Requests that the target may hold at once. */
  concurrency: z.int().positive(),
  /** Expected wait of a new online request. Unit: ms. */
  expectedWaitMs: z.number().nonnegative(),
  /** Models that the target serves now. */
  models: z.array(z.string()),
});

/** Load of a target as its agent reports it. */
export type TargetLoadReport = z.infer<typeof targetLoadReport>;

const demand = z.object({
  account: z.string(),
  /** Requests that arrived a second, averaged. */
  arrivalRate: z.number().nonnegative(),
  /** Requests refused since the last message. */
  refused: z.int().nonnegative(),
  /** Tokens left in the share. */
  tokens: z.number().nonnegative(),
  /** Rate part that the holder holds now; 0 when none. Unit: requests a second. */
  heldRate: z.number().nonnegative(),
  /** Capacity part that the holder holds now; 0 when none. Unit: requests. */
  heldCapacity: z.number().nonnegative(),
  /** Generation of the held share; 0 when none. */
  generation: z.int().nonnegative(),
});

/** What a holder asks for one account. */
export type Demand = z.infer<typeof demand>;

/** Schema of the question of `rates.share`. */
export const shareRequest = z.object({
  /** Name and start of the asking process, so that a restarted one is another holder. */
  incarnation: z.string(),
  /** Grows with each question of the incarnation about the shard; a late one is dropped. */
  sequence: z.int().nonnegative(),
  shard: z.int().min(0).max(31),
  demands: z.array(demand),
  /** Accounts whose share the holder gives back; their tokens are credited to the home. */
  released: z.array(z.object({ account: z.string(), tokens: z.number().nonnegative() })),
});

/** Question of `rates.share`. */
export type ShareRequest = z.infer<typeof shareRequest>;

const share = z.object({
  account: z.string(),
  generation: z.int().positive(),
  /** Unit: requests a second. */
  rate: z.number().nonnegative(),
  /** Unit: requests. */
  capacity: z.number().nonnegative(),
  /** Tokens that the home debited from its own bucket for the holder. */
  tokens: z.number().nonnegative(),
  /** Validity from the sending of the question. Unit: ms. */
  validMs: z.number().positive(),
});

/** Part of an account's rate and burst. */
export type Share = z.infer<typeof share>;

/** Schema of the answer of `rates.share`. */
export const shareResponse = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('granted'), shares: z.array(share) }),
  z.object({ kind: z.literal('not-home'), home: z.string().optional() }),
]);

/** Answer of `rates.share`. */
export type ShareResponse = z.infer<typeof shareResponse>;

/** Schema of the notice that a job was cancelled. */
export const cancelNotice = z.object({ job: z.string() });

/** Notice that a job was cancelled. */
export type CancelNotice = z.infer<typeof cancelNotice>;

/** Schema of the report of a crash. */
export const crashReport = z.object({
  target: z.string(),
  fingerprints: z.array(z.string()).max(1000),
});

/** Requests that were running when a target crashed. */
export type CrashReport = z.infer<typeof crashReport>;

/** Schema of the notice of suspects. */
export const suspectNotice = z.object({ suspects: z.array(suspect).max(1000) });

/** Records of suspects that changed, told to other entry hosts at once. */
export type SuspectNotice = z.infer<typeof suspectNotice>;
