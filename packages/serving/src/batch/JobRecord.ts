/** Schemas of the rows and objects in which batch jobs are stored. */
import * as z from 'zod';

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
  /** Version of the configuration that has the route; absent in jobs that earlier versions of the host have accepted. */
  configuration: z.number().optional(),
  /** Value of the `Host` header of its items. */
  host: z.string(),
  /** Time of acceptance by the store's clock, as the clocks of hosts may be stepped. Unit: ms. */
  submittedAt: z.number(),
  /** Id and tokens of each item, in the order of submission. */
  items: z.array(z.tuple([z.string(), z.number()])),
  /** Name of the content of the items, which is in rows or an object; see `JobInputs`. */
  input: z.string(),
  /** Name and incarnation of the host that runs the items; null if there is none. */
  holder: z.tuple([z.string(), z.number()]).nullable(),
  /** Index and state of each item that has a result, in the order in which the results were stored. */
  listed: z.array(z.tuple([z.int(), itemState])),
  /** Time by the store's clock at which the caller ended the job; null before. Unit: ms. */
  endedAt: z.number().nullable(),
});

/** A batch job as stored. */
export type JobRecord = z.infer<typeof jobRecord>;

/**
 * Identifies a job among those of all accounts, as callers choose the ids of their jobs.
 *
 * @param job - name of the account and id of the job
 * @returns a text that no other job has
 */
export const identifyJob = ({ account, id }: Pick<JobRecord, 'account' | 'id'>): string =>
  JSON.stringify([account, id]);

/** Schema of the content of a job's items. */
export const jobInput = z.array(
  z.object({
    id: z.string(),
    path: z.string(),
    headers: z.record(z.string(), z.string()),
    /** Request body in base64. */
    body: z.string(),
    /** Tokens of the prompt plus the maximum output. */
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
  /** Output of the item; absent if it is stored as an object. */
  text: z.string().optional(),
  /** Name of the object that holds the output. */
  object: z.string().optional(),
});

/** The result of an item as stored. */
export type ResultRecord = z.infer<typeof resultRecord>;

/** Schema of the output of an unfinished item. */
export const itemOutput = z.object({
  /** Id of the last event in the output. */
  lastEventId: z.string(),
  /** Data of all events up to the last one. */
  data: z.array(z.string()),
  /** Service that produced the output; absent in outputs that earlier versions of the host have saved. */
  service: z.string().optional(),
  /** Version of its targets; absent in such outputs too. */
  version: z.string().optional(),
});

/** Output of an unfinished item, starting with its first event. */
export type ItemOutput = z.infer<typeof itemOutput>;

/** Schema of the row of such an output. */
export const savedOutput = itemOutput.extend({
  /**
   * Name of the content of the job's items, which no other job has, also none with the same id; absent in outputs that earlier
   * versions of the host have saved.
   */
  input: z.string().optional(),
});

/** Output of an unfinished item as stored. */
export type SavedOutput = z.infer<typeof savedOutput>;

/** A result as returned to callers. */
export interface ItemResult {
  readonly item: string;
  readonly state: ItemState;
  readonly text: string;
}

/**
 * Checks whether a job still has items to run.
 *
 * @param job - the job
 * @returns whether it was not ended and some items have no result
 */
export const isOpen = ({ endedAt, listed, items }: JobRecord): boolean =>
  endedAt === null && listed.length < items.length;
