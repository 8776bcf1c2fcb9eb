/** What the store keeps about a batch job. */
import * as z from 'zod';

/** Final state of an item. */
const itemState = z.enum(['completed', 'dead-lettered']);

/** Final state of an item. */
export type ItemState = z.infer<typeof itemState>;

/** Schema of a job's row. */
export const jobRecord = z.object({
  id: z.string(),
  /** Name of the client account. */
  account: z.string(),
  /** Name of the route at which the job was submitted. */
  route: z.string(),
  /** Value of the `Host` header of its items. */
  host: z.string(),
  /** Time of the acceptance by the store's clock, as hosts may step theirs. Unit: ms. */
  submittedAt: z.number(),
  /** Id and tokens of each item, in the order of the submission. */
  items: z.array(z.tuple([z.string(), z.number()])),
  /** Name of the object with the items' content. */
  input: z.string(),
  /** Name and incarnation of the host that runs the items; null when none does. */
  holder: z.tuple([z.string(), z.number()]).nullable(),
  /** Index and state of each item that has a result, in the order of the results. */
  listed: z.array(z.tuple([z.int(), itemState])),
  /** Time by the store's clock at which the caller ended the job; null while it is open. Unit: ms. */
  endedAt: z.number().nullable(),
});

/** A batch job as the store keeps it. */
export type JobRecord = z.infer<typeof jobRecord>;

/** Schema of the object with the items' content. */
export const jobInput = z.array(
  z.object({
    id: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    /** Content of the request, in base64. */
    body: z.string(),
    /** Tokens of the prompt and the longest output. */
    tokens: z.number(),
  }),
);

/** The items of a job with their content. */
export type JobInput = z.infer<typeof jobInput>;

/** One item of a job with its content. */
export type JobItem = JobInput[number];

/** Schema of a result's row. */
export const resultRecord = z.object({
  item: z.string(),
  state: itemState,
  /** Output of the item; absent when it is kept as an object. */
  text: z.string().optional(),
  /** Name of the object with the output. */
  object: z.string().optional(),
});

/** The result of an item as the store keeps it. */
export type ResultRecord = z.infer<typeof resultRecord>;

/** Schema of the output of an unfinished item. */
export const itemOutput = z.object({
  /** Id of the last event. */
  lastEventId: z.string(),
  /** Data of all events up to it. */
  data: z.array(z.string()),
});

/** Output of an unfinished item, from its first event on. */
export type ItemOutput = z.infer<typeof itemOutput>;

/** A result as callers get it. */
export interface ItemResult {
  readonly item: string;
  readonly state: ItemState;
  readonly text: string;
}

/**
 * Tells whether a job still has items to run.
 *
 * @param job - the job
 * @returns whether it is neither ended nor complete
 */
export const isOpen = ({ endedAt, listed, items }: JobRecord): boolean =>
  endedAt === null && listed.length < items.length;
