/** Counts batch items at the engines, which includes the items of unfinished chunks. */
import type { Fleet } from '@jacinthlug/demo/launch/Fleet';
import * as z from 'zod';
import { BATCH_MARK } from './runBatchJob.js';

const requestLog = z.array(z.object({ body: z.string(), outcome: z.string() }));

/** Numbers of batch items that the engines ran. */
export interface BatchItemCounts {
  readonly completed: number;
  /** Item runs that were cancelled, for example preempted by an online request. */
  readonly cancelled: number;
}

/**
 * Counts the batch items that the engines have run so far.
 *
 * @param fleet - the fleet
 * @returns the counts; an engine that does not respond counts as zero
 */
export const countBatchItems = async (fleet: Fleet): Promise<BatchItemCounts> => {
  const logs = await Promise.all(
    fleet.standins.engines.map((url) =>
      fetch(`${url}/_standin/requests`)
        .then(async (response) => requestLog.parse(await response.json()))
        .catch(() => []),
    ),
  );
  const items = logs.flat().filter(({ body }) => body.includes(BATCH_MARK));
  const count = (expected: string) => items.filter(({ outcome }) => outcome === expected).length;
  return { completed: count('completed'), cancelled: count('cancelled') };
};
