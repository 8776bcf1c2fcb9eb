/** Schemas of the rows that the job store owns. Times are wall-clock ms since 1970. */
import type { Attributes, Row } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';
import type { Malformed } from '../BatchFailure.js';

const count = z.int().nonnegative();

/** Value of `running` when no item is recorded. */
export const NO_ITEM = -1;

/** Value of `holder` after a holder gave its chunk back. */
export const RELEASED = '';

/** Results of finished chunks. */
export const tally = z.object({
  succeeded: count,
  failed: count,
  /** Size of the lines of succeeded items. Unit: bytes. */
  outputBytes: count,
  /** Size of the lines of failed items. Unit: bytes. */
  errorBytes: count,
});

/** Results of finished chunks. */
export type Tally = z.infer<typeof tally>;

/** Schema of a job row. */
export const jobRow = z.object({
  account: z.string(),
  model: z.string(),
  state: z.enum(['open', 'cancelled', 'completed']),
  chunks: count,
  items: count,
  /** Object that holds the input. */
  input: z.string(),
  /** File that the job was submitted with. */
  inputFile: z.string(),
  endpoint: z.string(),
  /** Completion window as the caller wrote it, such as `24h`. */
  window: z.string(),
  metadata: z.record(z.string(), z.string()).nullable(),
  dueAt: z.number(),
  createdAt: z.number(),
  /** When the job was completed or cancelled. */
  endedAt: z.number().optional(),
  /** Present once the job is completed. */
  tally: tally.optional(),
});

/** Schema of a chunk row. The row is absent until the first claim. */
export const chunkRow = z.object({
  state: z.enum(['claimed', 'done']),
  /** Incarnation of the agent; {@link RELEASED} after a release. */
  holder: z.string(),
  /** Inner address of the agent, for the cancel notice. */
  address: z.string(),
  fencing: z.int().positive(),
  leaseUntil: z.number(),
  /** Claims that ended without a commit or a release. */
  lapses: count,
  /** Item that a holder recorded before it ran it alone; {@link NO_ITEM} when none. */
  running: z.int(),
  /** Items that were recorded as running when a holder was lost. */
  crashed: z.array(count),
  /** Object that holds the results; present once done. */
  result: z.string().optional(),
  tally: tally.optional(),
});

/** A chunk row. */
export type ChunkRow = z.infer<typeof chunkRow>;

/** Schema of a queue row. */
export const queueRow = z.object({ account: z.string(), job: z.string() });

/** Schema of a row in an account's list of jobs. */
export const accountJobRow = z.object({ job: z.string() });

/** Schema of the row that a resent submission finds. */
export const submissionRow = z.object({
  job: z.string(),
  /** Hash of what was submitted. */
  content: z.string(),
  /** When the row stops matching. */
  expiresAt: z.number(),
});

/** Schema of a file row. */
export const fileRow = z.object({
  account: z.string(),
  purpose: z.string(),
  filename: z.string(),
  bytes: count,
  createdAt: z.number(),
  /** Object that holds the content. */
  object: z.string(),
  /** SHA-256 of the content, in hex. */
  sha256: z.string(),
});

/** Schema of a row in an account's list of files: a copy of the file row, which never changes. */
export const accountFileRow = fileRow.extend({ file: z.string() });

/** A job. */
export type Job = z.infer<typeof jobRow> & { readonly id: string };

/** A file that a caller uploaded. */
export type FileRecord = z.infer<typeof fileRow> & { readonly id: string };

/**
 * Parses the attributes of a row.
 *
 * @param schema - schema of the row
 * @param row - row as read
 * @returns the typed attributes, or `malformed`
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
 * Gives the attributes of a typed row; absent ones are left out.
 *
 * @param value - typed row
 * @returns attributes for the table
 */
export const toAttributes = (value: object): Attributes =>
  Object.fromEntries(Object.entries(value).filter(([, attribute]) => attribute !== undefined));
