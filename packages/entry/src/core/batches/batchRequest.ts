/** Schema of the body of `POST /v1/batches`. */
import { batchEndpoint } from '@jacinthlug/batch/input/item';
import * as z from 'zod';

const MAX_METADATA_ENTRIES = 16;
const MAX_METADATA_KEY_LENGTH = 64;
const MAX_METADATA_VALUE_LENGTH = 512;

const MS_PER_MINUTE = 60_000;

const msPerUnit: Readonly<Record<string, number>> = {
  m: MS_PER_MINUTE,
  h: 60 * MS_PER_MINUTE,
  d: 24 * 60 * MS_PER_MINUTE,
};

/** Schema of the body. Unknown fields are ignored, since newer clients may send them. */
export const batchRequest = z.object({
  input_file_id: z.string().min(1),
  endpoint: batchEndpoint,
  /** Time until the job is due, in minutes, hours or days, such as `24h`. */
  completion_window: z.string().regex(/^[1-9]\d{0,3}[mhd]$/, 'must be like "24h"'),
  metadata: z
    .record(z.string().max(MAX_METADATA_KEY_LENGTH), z.string().max(MAX_METADATA_VALUE_LENGTH))
    .refine(
      (entries) => Object.keys(entries).length <= MAX_METADATA_ENTRIES,
      `over ${MAX_METADATA_ENTRIES} entries`,
    )
    .nullish(),
});

/** Body of `POST /v1/batches`. */
export type BatchRequest = z.infer<typeof batchRequest>;

/**
 * Converts a completion window to the time from acceptance until the job is due.
 *
 * @param window - completion window that matches the schema
 * @returns time in ms
 */
export const parseWindowMs = (window: string): number =>
  Number(window.slice(0, -1)) * (msPerUnit[window.slice(-1)] ?? 0);
