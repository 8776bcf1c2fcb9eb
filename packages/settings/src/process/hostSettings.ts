/** Settings of entry hosts and agents. */
import * as z from 'zod';

const address = z.object({
  /** IP address to listen on, and at which peers reach the process. */
  host: z.ipv4(),
  port: z.int().min(1).max(65535),
});

/** Address of a process. */
export type Address = z.infer<typeof address>;

const platformSettings = z.strictObject({
  /** DynamoDB endpoint of the table service. */
  table: z.strictObject({ url: z.url(), name: z.string().default('jacinthlug') }),
  /** S3 endpoint of the object store. */
  objects: z.strictObject({ url: z.url(), bucket: z.string().default('jacinthlug') }),
  /** Prometheus HTTP service discovery endpoint of the host list. */
  hosts: z.strictObject({ url: z.url() }),
  region: z.string().default('local'),
  accessKeyId: z.string().default('jacinthlug'),
  secretAccessKey: z.string().default('jacinthlug'),
  /** Timeout of a call to the platform. Unit: ms. */
  callLimitMs: z.int().positive().default(1000),
});

/** Endpoints and credentials of the platform's services. */
export type PlatformSettings = z.infer<typeof platformSettings>;

const machineLimits = z.strictObject({
  /** Memory that the process may use. The limits on what it holds for callers derive from it; they need at least 256 MB to hold. Unit: MB. */
  memoryMb: z.int().min(160).default(2048),
  /** Maximum number of open descriptors of the process; connections of callers get half of them, without 200 for files. */
  descriptors: z.int().min(260).default(20_000),
});

/** Limits of the machine of a process. */
export type MachineLimits = z.infer<typeof machineLimits>;

/** Schema of the settings that entry hosts and agents share. */
export const hostSettings = z.strictObject({
  /** Name of the host, unique in the fleet. */
  name: z.string().min(1),
  failureDomain: z.string().min(1),
  region: z.string().min(1),
  /** Address of the internal protocol between hosts. */
  inner: address,
  /** Credential that the processes of the fleet send to each other. */
  fleetCredential: z.string().min(16),
  platform: platformSettings,
  /** StatsD server for metrics. */
  statsd: z.strictObject({ host: z.string(), port: z.int() }).optional(),
  logLevel: z.enum(['debug', 'info', 'warn', 'error']).default('info'),
  limits: machineLimits.prefault({}),
  /** How long a stopping process still accepts requests, so that its peers notice the stop. Unit: ms. */
  graceMs: z.int().nonnegative().default(1000),
  /** Timeout of the graceful shutdown. Unit: ms. */
  stopWithinMs: z.int().positive().default(120_000),
});

/** Settings that entry hosts and agents share. */
export type HostSettings = z.infer<typeof hostSettings>;

/** Schema of the settings of `jacinthlug-entry`. */
export const entrySettings = hostSettings.extend({
  /** Address of the interface for callers and operators. */
  outer: address,
  /** SHA-256 of the operator credential, in hexadecimal. */
  operatorCredentialSha256: z.string().regex(/^[0-9a-f]{64}$/),
  /** Number of agents of a service whose load this host tracks. */
  agentSubset: z.int().positive().default(24),
});

/** Settings of `jacinthlug-entry`. */
export type EntrySettings = z.infer<typeof entrySettings>;

/** Schema of the settings of `jacinthlug-agent`. */
export const agentSettings = hostSettings.extend({
  /** Time after which another agent may claim a chunk of a lost agent. Unit: ms. */
  chunkLeaseMs: z.int().min(1000).default(60_000),
  target: z.strictObject({
    /** Name of the target, unique in the fleet. */
    name: z.string().min(1),
    /** Name of the declared service that the target belongs to. */
    service: z.string().min(1),
    url: z.url(),
    kind: z.enum(['engine', 'service']),
    /** Whether the target rejects orders with an old fencing number. */
    checksFencing: z.boolean().default(false),
  }),
});

/** Settings of `jacinthlug-agent`. */
export type AgentSettings = z.infer<typeof agentSettings>;
