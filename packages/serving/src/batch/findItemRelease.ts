/** Decides when a batch item with blocked content runs again. */
import type { FoundBlock } from '../crashes/BlockedContent.js';
import { isRequestKey } from '../crashes/contentKeys.js';

/** Time from the first block of an item's own content to its next run; doubled for each further block. Unit: ms. */
const FIRST_DELAY_MS = 4000;

/** Number of runs of an item before its block ends, over all hosts that hold it. */
const MAX_EARLY_RUNS = 3;

/**
 * Returns when a batch item with blocked content may run. Parts of prompts are also in other requests, which show whether
 * they are sound. Nobody else sends the content of one item, so that only a run of the item can show it: targets that reset
 * connections for another reason fail a few sound items several times in a row.
 *
 * @param block - the block
 * @returns monotonic time. Unit: ms
 */
export const findItemRelease = ({ key, until, since, count }: FoundBlock): number =>
  isRequestKey(key) && count <= MAX_EARLY_RUNS
    ? Math.min(until, since + FIRST_DELAY_MS * 2 ** (count - 1))
    : until;
