/** The order in which waiting items get slots. */

/** What the order depends on. */
export interface OrderedItem {
  /** Monotonic time at which the results of the item's job are due. Unit: ms. */
  readonly due: number;
  /** Position in the job. */
  readonly index: number;
  /** Tokens of the prompt and the longest output. */
  readonly tokens: number;
  /** Events that the item has put out in earlier runs. */
  readonly events: number;
}

/** How long items take, learned from finished ones. */
export interface Pace {
  /** Time of a run from its first event to its last for one token of the item. Unit: ms. */
  readonly msPerToken: number;
  /** Events of a finished item for one of its tokens. */
  readonly eventsPerToken: number;
}

/**
 * Estimates how long an item still runs.
 *
 * @param item - the item
 * @param pace - how long items take
 * @returns time. Unit: ms
 */
export const remainingMs = (item: OrderedItem, pace: Pace): number => {
  const expectedEvents = Math.max(1, item.tokens * pace.eventsPerToken);
  const left = Math.max(0, 1 - item.events / expectedEvents);
  return item.tokens * pace.msPerToken * left;
};

/**
 * Orders waiting items: those that can still be on time by their due time, then the others. An item that
 * is late in any case loses little by waiting, but makes another one late when it goes first.
 *
 * @param items - waiting items
 * @param pace - how long items take
 * @param now - monotonic time. Unit: ms
 * @returns the items, first one first
 */
export const orderItems = <Item extends OrderedItem>(
  items: readonly Item[],
  pace: Pace,
  now: number,
): Item[] =>
  items
    .map((item) => ({ item, isLate: now + remainingMs(item, pace) > item.due }))
    .sort(
      (a, b) =>
        Number(a.isLate) - Number(b.isLate) ||
        a.item.due - b.item.due ||
        a.item.index - b.item.index,
    )
    .map(({ item }) => item);
