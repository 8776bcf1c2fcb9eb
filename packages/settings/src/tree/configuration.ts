/** Schema of a configuration version: declarations and keys, as stored and distributed to hosts. */
import * as z from 'zod';
import { declarations, inheritedSettings } from './declarations.js';

const key = z.strictObject({
  account: z.string(),
  /** SHA-256 of the complete key, in hexadecimal. */
  sha256: z.string().regex(/^[0-9a-f]{64}$/),
  state: z.enum(['granted', 'withdrawn']),
  /** Time of the last state change. Unit: ms since 1970. */
  changedAt: z.number(),
  /** Overrides of the account's settings; rate, burst and weight always are those of the account. */
  settings: inheritedSettings.omit({ rate: true, burst: true, weight: true }).partial().default({}),
});

/** Key of a caller, without its secret. */
export type Key = z.infer<typeof key>;

/** Schema of the content of a version. */
export const configurationContent = z.strictObject({
  declarations,
  /** Keys by id. Withdrawn keys stay listed, so that an id is never granted again. */
  keys: z.record(z.string(), key),
  /** Names of the hosts that an operator is draining. */
  drainedHosts: z.array(z.string()).default([]),
});

/** Content of a version. */
export type ConfigurationContent = z.infer<typeof configurationContent>;

/** Schema of a version with its number. */
export const configuration = z.strictObject({
  version: z.int().nonnegative(),
  content: configurationContent,
});

/** Version of the configuration. Version numbers only increase. */
export type Configuration = z.infer<typeof configuration>;
