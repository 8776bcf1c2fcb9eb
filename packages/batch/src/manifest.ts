/** The manifest of a job: where its chunks are in the input. Written once, before the job is accepted. */
import * as z from 'zod';

/** Schema of the place of a chunk in the input object. */
export const chunkRange = z.object({
  /** First byte. */
  first: z.int().nonnegative(),
  /** Last byte, included. */
  last: z.int().nonnegative(),
  items: z.int().positive(),
});

/** Place of a chunk in the input object. */
export type ChunkRange = Readonly<z.infer<typeof chunkRange>>;

/** Schema of a manifest. */
export const manifest = z.object({ chunks: z.array(chunkRange) });

/** A manifest. */
export type Manifest = z.infer<typeof manifest>;

/**
 * Names the manifest object of a job.
 *
 * @param job - job id
 * @returns object name
 */
export const manifestObjectName = (job: string): string => `jobs/${job}/manifest.json`;
