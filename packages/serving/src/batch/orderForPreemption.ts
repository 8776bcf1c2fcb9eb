/**
 * Which running items leave a target when a burst of online requests needs their slots. Bursts last for some seconds, and an
 * item that is cut goes on after its last event, so it loses the time that it waits, and hardly any work.
 */
import { estimateRemainingMs, type SchedulableItem, type Pace } from './orderItems.js';

/**
 * Orders running items: first those that are late in any case, then those with the most time to spare.
 *
 * @param items - running items
 * @param pace - how long items take
 * @param now - monotonic time. Unit: ms
 * @returns the items, the first to leave first
 */
export const orderForPreemption = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  now: number,
): Item[] =>
  items
    .map((item) => ({ item, spareMs: item.due - now - estimateRemainingMs(item, pace) }))
    .sort((a, b) => Number(b.spareMs < 0) - Number(a.spareMs < 0) || b.spareMs - a.spareMs)
    .map(({ item }) => item);
