/** Lines of the results, in the OpenAI batch output format. */
import * as z from 'zod';

/** Schema of one line. */
export const resultLine = z.object({
  id: z.string(),
  custom_id: z.string(),
  /** The answer of the target, whatever its status; null when there was none. */
  response: z
    .object({ status_code: z.int(), request_id: z.string(), body: z.unknown() })
    .nullable(),
  /** Why there is no answer. */
  error: z.object({ code: z.string(), message: z.string() }).nullable(),
});

/** Result of one item. */
export type ResultLine = z.infer<typeof resultLine>;

const FIRST_ERROR_STATUS = 400;

/**
 * Tells in which file a result goes.
 *
 * @param line - result of an item
 * @returns whether the item succeeded
 */
export const isSuccess = ({ response }: Pick<ResultLine, 'response'>): boolean =>
  response !== null && response.status_code < FIRST_ERROR_STATUS;

/**
 * Names the result of an item; the same on every run of the item.
 *
 * @param job - job id
 * @param chunk - index of the chunk
 * @param item - index of the item in the chunk
 * @returns the id of the result line
 */
export const resultId = (job: string, chunk: number, item: number): string =>
  `batch_req_${job.replace(/^batch_/, '')}_${chunk}_${item}`;
