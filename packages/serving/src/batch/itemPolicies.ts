/** Ways to start and preempt batch items. */
import * as z from 'zod';
import { orderForPulse } from './itemPlans.js';
import type { Pulses } from './findPulses.js';
import { orderForPreemption } from './orderForPreemption.js';
import type { Pace, SchedulableItem } from './orderItems.js';

/** Schema of the names of policies. */
export const itemPolicy = z.enum(['eager', 'planned']);

/** Name of a policy. */
export type ItemPolicy = z.infer<typeof itemPolicy>;

/** Whether items leave slots free for pulses of online requests, by policy. */
export const plansForPulses: Readonly<Record<ItemPolicy, boolean>> = {
  eager: false,
  planned: true,
};

/**
 * Orders running items for preemption.
 *
 * @param items - running items of one target
 * @param pace - estimated pace of items
 * @param pulses - pulses of the service that runs them; undefined if none were observed, or items aren't planned
 * @param now - monotonic time. Unit: ms
 * @returns the items, the first to preempt first
 */
export const orderRunningItems = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  pulses: Pulses | undefined,
  now: number,
): Item[] =>
  pulses ? orderForPulse(items, pace, pulses, now) : orderForPreemption(items, pace, now);
