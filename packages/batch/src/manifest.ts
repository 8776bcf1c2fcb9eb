/** Manifest of a job: byte ranges of its chunks. Written once, before the job is accepted. */
import * as z from 'zod';

/** Schema of the byte range of a chunk in the input object. */
export const chunkRange = z.object({
  /** Offset of the first byte. */
  first: z.int().nonnegative(),
  /** Offset of the last byte (inclusive). */
  last: z.int().nonnegative(),
  items: z.int().positive(),
});

/** Byte range of a chunk in the input object. */
export type ChunkRange = Readonly<z.infer<typeof chunkRange>>;

/** Schema of a manifest. */
export const manifest = z.object({ chunks: z.array(chunkRange) });

/** A manifest. */
export type Manifest = z.infer<typeof manifest>;

/**
 * Returns the name of the manifest object of a job.
 *
 * @param job - job id
 * @returns object name
 */
export const manifestObjectName = (job: string): string => `jobs/${job}/manifest.json`;
