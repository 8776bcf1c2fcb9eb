/** Schemas of the table rows of the batch stores. Times are wall-clock ms since 1970. */
import type { Attributes, Row } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Malformed } from '../BatchFailure.js';

const count = z.int().nonnegative();

/** Value of `running` when no item is recorded. */
export const NO_ITEM = -1;

/** Value of `holder` after the chunk was released. */
export const RELEASED = '';

/** Schema of the totals of finished chunks. */
export const tally = z.object({
  succeeded: count,
  failed: count,
  /** Total size of the result lines of succeeded items. Unit: bytes. */
  outputBytes: count,
  /** Total size of the result lines of failed items. Unit: bytes. */
  errorBytes: count,
});

/** Totals of finished chunks. */
export type Tally = z.infer<typeof tally>;

/** Schema of a job row. */
export const jobRow = z.object({
  account: z.string(),
  model: z.string(),
  state: z.enum(['open', 'cancelled', 'completed']),
  chunks: count,
  items: count,
  /** Name of the object that contains the input. */
  input: z.string(),
  /** Id of the file that the job was submitted with. */
  inputFile: z.string(),
  endpoint: z.string(),
  /** Completion window as the caller wrote it, such as `24h`. */
  window: z.string(),
  metadata: z.record(z.string(), z.string()).nullable(),
  dueAt: z.number(),
  createdAt: z.number(),
  /** Time at which the job was completed or cancelled. */
  endedAt: z.number().optional(),
  /** Present once the job is completed. */
  tally: tally.optional(),
});

/** Schema of a chunk row. The row is absent until the first claim. */
export const chunkRow = z.object({
  state: z.enum(['claimed', 'done']),
  /** Incarnation of the agent; {@link RELEASED} after a release. */
  holder: z.string(),
  /** Inner address of the agent, to which cancel notices are sent. */
  address: z.string(),
  fencing: z.int().positive(),
  leaseUntil: z.number(),
  /** Number of claims that expired without a commit or a release. */
  lapses: count,
  /** Index of the item that the holder recorded before running it alone, or {@link NO_ITEM}. */
  running: z.int(),
  /**
   * Indices of the items that were running when a target crashed, or recorded as running when a holder was lost; an
   * index stands there once for each crash.
   */
  crashed: z.array(count),
  /** Name of the object that contains the results; present once the chunk is done. */
  result: z.string().optional(),
  tally: tally.optional(),
});

/** A chunk row. */
export type ChunkRow = z.infer<typeof chunkRow>;

/** Schema of a queue row. */
export const queueRow = z.object({ account: z.string(), job: z.string() });

/** Schema of a row in an account's list of jobs. */
export const accountJobRow = z.object({ job: z.string() });

/** Schema of the row that maps a repeated submission to its job. */
export const submissionRow = z.object({
  job: z.string(),
  /** Hash of the submission. */
  content: z.string(),
  /** Time after which the row is ignored. */
  expiresAt: z.number(),
});

/** Schema of a file row. */
export const fileRow = z.object({
  account: z.string(),
  purpose: z.string(),
  filename: z.string(),
  bytes: count,
  createdAt: z.number(),
  /** Name of the object that contains the content. */
  object: z.string(),
  /** SHA-256 of the content, in hex. */
  sha256: z.string(),
});

/** Schema of a row in an account's list of files: a copy of the file row, which never changes. */
export const accountFileRow = fileRow.extend({ file: z.string() });

/** A job. */
export type Job = z.infer<typeof jobRow> & { readonly id: string };

/** A file uploaded by a caller. */
export type FileRecord = z.infer<typeof fileRow> & { readonly id: string };

/**
 * Parses the attributes of a row.
 *
 * @param schema - schema of the row
 * @param row - row as read from the table
 * @returns the typed attributes, or `malformed` if they do not match the schema
 */
export const parseRow = <Schema extends z.ZodType>(
  schema: Schema,
  row: Row,
): Result<z.output<Schema>, Malformed> => {
  const parsed = schema.safeParse(row.attributes);
  if (parsed.success) return ok(parsed.data);
  return err({ kind: 'malformed', message: `${row.pk} ${row.sk}: ${parsed.error.message}` });
};

/**
 * Converts a typed row to table attributes and omits undefined ones.
 *
 * @param value - typed row
 * @returns the attributes
 */
export const toAttributes = (value: object): Attributes =>
  Object.fromEntries(Object.entries(value).filter(([, attribute]) => attribute !== undefined));
