/** Learns from the runs of items how long items take. */
import { MovingAverage } from './MovingAverage.js';
import type { Pace } from './orderItems.js';

/** Pace before the first run: an event each 20 ms, and a third of an item's tokens as events. */
const INITIAL_PACE: Pace = { msPerEvent: 20, eventsPerToken: 0.33 };

/**
 * Keeps the pace of this host's items. Under load nearly every item is cut and goes on in another run, so each run
 * counts, not only those of items that ran whole.
 */
export class PaceEstimator {
  private readonly msPerEvent = new MovingAverage(INITIAL_PACE.msPerEvent);

  private readonly eventsPerToken = new MovingAverage(INITIAL_PACE.eventsPerToken);

  /**
   * Gives the pace.
   *
   * @returns the present estimate
   */
  get pace(): Pace {
    return { msPerEvent: this.msPerEvent.value, eventsPerToken: this.eventsPerToken.value };
  }

  /**
   * Takes a run, whether or not it ended its item.
   *
   * @param events - events that it put out
   * @param tookMs - time of the run. Unit: ms
   */
  recordRun(events: number, tookMs: number): void {
    if (events > 0) this.msPerEvent.add(tookMs / events, events);
  }

  /**
   * Takes a completed item.
   *
   * @param tokens - tokens of the item
   * @param events - events of all its runs
   */
  recordCompletedItem(tokens: number, events: number): void {
    if (tokens > 0) this.eventsPerToken.add(events / tokens, tokens);
  }
}
