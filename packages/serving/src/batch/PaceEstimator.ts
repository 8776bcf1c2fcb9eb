/** Estimates how long items run, from their earlier runs. */
import { MovingAverage } from './MovingAverage.js';
import type { Pace } from './orderItems.js';

/** Initial estimate: one event every 20 ms, and one event for every three tokens of an item. */
const INITIAL_PACE: Pace = { msPerEvent: 20, eventsPerToken: 0.33 };

/**
 * Estimates the pace of this host's items. All runs are counted, not only those that complete their item: under load
 * nearly every item is preempted and continues in another run.
 */
export class PaceEstimator {
  private readonly msPerEvent = new MovingAverage(INITIAL_PACE.msPerEvent);

  private readonly eventsPerToken = new MovingAverage(INITIAL_PACE.eventsPerToken);

  /**
   * Returns the current estimate.
   *
   * @returns the pace
   */
  get pace(): Pace {
    return { msPerEvent: this.msPerEvent.value, eventsPerToken: this.eventsPerToken.value };
  }

  /**
   * Records a run, whether or not it completed its item.
   *
   * @param events - number of events that the run output
   * @param durationMs - duration of the run. Unit: ms
   */
  recordRun(events: number, durationMs: number): void {
    if (events > 0) this.msPerEvent.add(durationMs / events, events);
  }

  /**
   * Records a completed item.
   *
   * @param tokens - tokens of the item
   * @param events - number of events of all its runs
   */
  recordCompletedItem(tokens: number, events: number): void {
    if (tokens > 0) this.eventsPerToken.add(events / tokens, tokens);
  }
}
