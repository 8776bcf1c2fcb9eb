/** The order in which waiting items get slots. */

/** What the order depends on. */
export interface SchedulableItem {
  /** Monotonic time at which the results of the item's job are due. Unit: ms. */
  readonly due: number;
  /** Position in the job. */
  readonly index: number;
  /** Tokens of the prompt and the longest output. */
  readonly tokens: number;
  /** Events that the item has put out in earlier runs. */
  readonly events: number;
}

/** How long items take, learned from their runs. */
export interface Pace {
  /** Time of a run for each of its events. Unit: ms. */
  readonly msPerEvent: number;
  /** Events of a completed item for one of its tokens. */
  readonly eventsPerToken: number;
}

/**
 * Estimates how long an item still runs.
 *
 * @param item - the item
 * @param pace - how long items take
 * @returns time. Unit: ms
 */
export const estimateRemainingMs = (
  { tokens, events }: Pick<SchedulableItem, 'tokens' | 'events'>,
  { msPerEvent, eventsPerToken }: Pace,
): number => Math.max(0, tokens * eventsPerToken - events) * msPerEvent;

/**
 * Orders waiting items: those that can still be on time by their due time, then the others. An item that
 * is late in any case loses little by waiting, but makes another one late when it goes first.
 *
 * @param items - waiting items
 * @param pace - how long items take
 * @param now - monotonic time. Unit: ms
 * @returns the items, first one first
 */
export const orderItems = <Item extends SchedulableItem>(
  items: readonly Item[],
  pace: Pace,
  now: number,
): Item[] =>
  items
    .map((item) => ({ item, isLate: now + estimateRemainingMs(item, pace) > item.due }))
    .sort(
      (a, b) =>
        Number(a.isLate) - Number(b.isLate) ||
        a.item.due - b.item.due ||
        a.item.index - b.item.index,
    )
    .map(({ item }) => item);
