/** Counts batch items at the engines, where a chunk in progress shows too. */
import type { Fleet } from '@jacinthlug/demo/launch/Fleet';
import * as z from 'zod';
import { BATCH_MARK } from './runBatchJob.js';

const requestLog = z.array(z.object({ body: z.string(), outcome: z.string() }));

/** Batch items at the engines. */
export interface BatchItemCounts {
  readonly completed: number;
  /** Runs that were cancelled, as when an online request took their place. */
  readonly cancelled: number;
}

/**
 * Counts the batch items that the engines have run so far.
 *
 * @param fleet - the fleet
 * @returns the counts; an engine that does not answer counts as none
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
  const count = (wanted: string) => items.filter(({ outcome }) => outcome === wanted).length;
  return { completed: count('completed'), cancelled: count('cancelled') };
};
