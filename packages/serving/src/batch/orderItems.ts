/** Determines the order in which waiting items get slots. */

/** Properties of an item that determine its order. */
export interface SchedulableItem {
  /** Monotonic time at which the results of the item's job are due. Unit: ms. */
  readonly dueAt: number;
  /** Index of the item in its job. */
  readonly index: number;
  /** Tokens of the prompt plus the maximum output. */
  readonly tokens: number;
  /** Number of events received so far. */
  readonly events: number;
}

/** Estimated pace of items, from their earlier runs. */
export interface Pace {
  /** Run time per event. Unit: ms. */
  readonly msPerEvent: number;
  /** Events of a completed item per token of the item. */
  readonly eventsPerToken: number;
}

/**
 * Estimates the remaining run time of an item.
 *
 * @param item - the item
 * @param pace - estimated pace of items
 * @returns remaining time. Unit: ms
 */
export const estimateRemainingMs = (
  { tokens, events }: Pick<SchedulableItem, 'tokens' | 'events'>,
  { msPerEvent, eventsPerToken }: Pace,
): number => Math.max(0, tokens * eventsPerToken - events) * msPerEvent;

/**
 * Orders waiting items: first those that can still be on time, by due time, then the late ones. An item that will
 * be late anyway loses little by waiting, but could make another item late if it ran first.
 *
 * @param items - waiting items
 * @param pace - estimated pace of items
 * @param now - monotonic time. Unit: ms
 * @returns the items, the first to start first
 */
export const orderItems = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  now: number,
): Item[] =>
  items
    .map((item) => ({ item, isLate: now + estimateRemainingMs(item, pace) > item.dueAt }))
    .sort(
      (a, b) =>
        Number(a.isLate) - Number(b.isLate) ||
        a.item.dueAt - b.item.dueAt ||
        a.item.index - b.item.index,
    )
    .map(({ item }) => item);
