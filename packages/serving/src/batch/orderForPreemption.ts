/**
 * Selects the running items to preempt when a burst of online requests needs their slots. Bursts last for
 * some seconds. A preempted item later resumes after its last event, so it loses waiting time but hardly any work.
 */
import { estimateRemainingMs, type SchedulableItem, type Pace } from './orderItems.js';

/**
 * Orders running items for preemption: first those that will be late anyway, then those with the most slack.
 *
 * @param items - running items
 * @param pace - estimated pace of items
 * @param now - monotonic time. Unit: ms
 * @returns the items, the first to preempt first
 */
export const orderForPreemption = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  now: number,
): Item[] =>
  items
    .map((item) => ({ item, slackMs: item.dueAt - now - estimateRemainingMs(item, pace) }))
    .sort((a, b) => Number(b.slackMs < 0) - Number(a.slackMs < 0) || b.slackMs - a.slackMs)
    .map(({ item }) => item);
