/** Lines of result files, in the OpenAI batch output format. */
import * as z from 'zod';

/** Schema of a result line. */
export const resultLine = z.object({
  id: z.string(),
  custom_id: z.string(),
  /** Response of the target, with any status; null if there was none. */
  response: z
    .object({ status_code: z.int(), request_id: z.string(), body: z.unknown() })
    .nullable(),
  /** Reason why there is no response. */
  error: z.object({ code: z.string(), message: z.string() }).nullable(),
});

/** Result of one item. */
export type ResultLine = z.infer<typeof resultLine>;

const FIRST_ERROR_STATUS = 400;

/**
 * Checks whether an item succeeded, which decides between the output file and the error file.
 *
 * @param line - result of an item
 * @returns whether the item succeeded
 */
export const isSuccess = ({ response }: Pick<ResultLine, 'response'>): boolean =>
  response !== null && response.status_code < FIRST_ERROR_STATUS;

/**
 * Creates the id of a result line. It is the same on every run of the item.
 *
 * @param job - job id
 * @param chunk - index of the chunk
 * @param item - index of the item in the chunk
 * @returns the id of the result line
 */
export const resultId = (job: string, chunk: number, item: number): string =>
  `batch_req_${job.replace(/^batch_/, '')}_${chunk}_${item}`;
