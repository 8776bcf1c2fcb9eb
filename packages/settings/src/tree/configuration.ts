/** A version of the configuration: declarations and keys, as it is stored and spread. */
import * as z from 'zod';
import { declarations, inheritedSettings } from './declarations.js';

const key = z.strictObject({
  account: z.string(),
  /** SHA-256 of the whole key, in hex. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  state: z.enum(['granted', 'withdrawn']),
  /** Wall-clock time. Unit: ms since 1970. */
  changedAt: z.number(),
  /** Overrides of the account's settings for this key; rate and burst stay those of the account. */
  settings: inheritedSettings.omit({ rate: true, burst: true, weight: true }).partial().default({}),
});

/** A caller's key as the configuration knows it. */
export type Key = z.infer<typeof key>;

/** Schema of the content of a version. */
export const configurationContent = z.strictObject({
  declarations,
  /** Keys by key id. Withdrawn keys stay listed, so that an id is never granted again. */
  keys: z.record(z.string(), key),
  /** Names of the hosts that an operator drains. */
  drainedHosts: z.array(z.string()).default([]),
});

/** Content of a version. */
export type ConfigurationContent = z.infer<typeof configurationContent>;

/** Schema of a version with its number. */
export const configuration = z.strictObject({
  version: z.int().nonnegative(),
  content: configurationContent,
});

/** A version of the configuration. Versions only grow. */
export type Configuration = z.infer<typeof configuration>;
