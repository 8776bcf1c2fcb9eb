/** Learns from finished items how long items take. */
import type { Pace } from './orderItems.js';

/** Weight of the newest finished item: the last ten or so count. */
const NEWEST_WEIGHT = 0.1;

/** Pace before the first item has finished: a token every 4 ms, five to an event. */
const FIRST_PACE: Pace = { msPerToken: 3, eventsPerToken: 0.15 };

/** Keeps the pace of this host's items. */
export class PaceMeter {
  private held: Pace = FIRST_PACE;

  /**
   * Gives the pace.
   *
   * @returns the present estimate
   */
  get pace(): Pace {
    return this.held;
  }

  /**
   * Takes an item that ran whole in one run.
   *
   * @param tokens - tokens of the item
   * @param events - events that it put out
   * @param tookMs - time of the run. Unit: ms
   */
  finish(tokens: number, events: number, tookMs: number): void {
    if (tokens <= 0) return;
    const blend = (before: number, newest: number): number =>
      before + NEWEST_WEIGHT * (newest - before);
    this.held = {
      msPerToken: blend(this.held.msPerToken, tookMs / tokens),
      eventsPerToken: blend(this.held.eventsPerToken, events / tokens),
    };
  }
}
