/** Settings that entry hosts and agents share. */
import * as z from 'zod';

const address = z.object({
  /** IP number to listen on and to be reached at. */
  host: z.ipv4(),
  port: z.int().min(1).max(65535),
});

/** Address of a process. */
export type Address = z.infer<typeof address>;

const platformSettings = z.strictObject({
  /** Table service: DynamoDB endpoint. */
  table: z.strictObject({ url: z.url(), name: z.string().default('jacinthlug') }),
  /** Object store: S3 endpoint. */
  objects: z.strictObject({ url: z.url(), bucket: z.string().default('jacinthlug') }),
  /** Host list: Prometheus HTTP service discovery endpoint. */
  hosts: z.strictObject({ url: z.url() }),
  region: z.string().default('local'),
  accessKeyId: z.string().default('jacinthlug'),
  secretAccessKey: z.string().default('jacinthlug'),
  /** Time limit of one call to the platform. Unit: ms. */
  callLimitMs: z.int().positive().default(1000),
});

/** Where the platform's services are and how to sign in. */
export type PlatformSettings = z.infer<typeof platformSettings>;

/** Schema shared by the settings of entry hosts and agents. */
export const hostSettings = z.strictObject({
  /** Name of the host; unique in the fleet. */
  name: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Address of the inner protocol. */
  inner: address,
  /** Credential that every process of the fleet shows to its peers. */
  fleetCredential: z.string().min(16),
  platform: platformSettings,
  /** StatsD server for metrics. */
  statsd: z.strictObject({ host: z.string(), port: z.int() }).optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  /** How long a stopping process goes on taking requests, so that others notice. Unit: ms. */
  graceMs: z.int().nonnegative().default(1000),
  /** Longest graceful shutdown. Unit: ms. */
  stopWithinMs: z.int().positive().default(120_000),
});

/** Settings that entry hosts and agents share. */
export type HostSettings = z.infer<typeof hostSettings>;

/** Schema of the settings of `jacinthlug-entry`. */
export const entrySettings = hostSettings.extend({
  /** Address of the callers' and operators' interface. */
  outer: address,
  /** SHA-256 of the operator credential, in hex. */
  operatorCredentialSha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** How many agents of a service this host keeps load knowledge of. */
  agentSubset: z.int().positive().default(24),
});

/** Settings of `jacinthlug-entry`. */
export type EntrySettings = z.infer<typeof entrySettings>;

/** Schema of the settings of `jacinthlug-agent`. */
export const agentSettings = hostSettings.extend({
  /** Time after which the chunk of a lost agent may be claimed by another. Unit: ms. */
  chunkLeaseMs: z.int().min(1000).default(60_000),
  target: z.strictObject({
    /** Name of the target; unique in the fleet. */
    name: z.string().min(1),
    /** Service of the declaration tree that the target belongs to. */
    service: z.string().min(1),
    url: z.url(),
    kind: z.enum(['engine', 'service']),
    /** Whether the target refuses orders with an old fencing number. */
    checksFencing: z.boolean().default(false),
  }),
});

/** Settings of `jacinthlug-agent`. */
export type AgentSettings = z.infer<typeof agentSettings>;
