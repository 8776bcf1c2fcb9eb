/** Learns how long the online requests of each service take on targets. */
import { DecayingMean } from './DecayingMean.js';

/** Half-life of the means. Unit: ms. */
const HALF_LIFE_MS = 10_000;

/** Weight of the initial means. Unit: responses. */
const INITIAL_WEIGHT = 5;

/** Time to the first event of a request that waits for no slot, before any response. Unit: ms. */
const INITIAL_FIRST_MS = 75;

/** Time for which an online request holds a slot, before any response. Unit: ms. */
const INITIAL_HOLD_MS = 750;

/** Multiple of the mean as which longer times to the first event count: they may contain time in the queue of the target. */
const MAX_FIRST_FACTOR = 2;

interface Times {
  readonly firstMs: DecayingMean;
  readonly holdMs: DecayingMean;
  /** Number of running requests. */
  running: number;
}

/** Mean times of the services, from the requests of this host. */
export class ServiceTimes {
  private readonly timesByService = new Map<string, Times>();

  /**
   * Counts a request that is sent to a target.
   *
   * @param service - name of the service
   */
  begin(service: string): void {
    this.getOrCreate(service).running += 1;
  }

  /**
   * Counts the end of a request.
   *
   * @param service - name of the service
   */
  end(service: string): void {
    this.getOrCreate(service).running -= 1;
  }

  /**
   * Records a time to the first event.
   *
   * @param service - name of the service
   * @param ms - the time at a target of the mean pace. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  recordFirst(service: string, ms: number, now: number): void {
    const maxMs = MAX_FIRST_FACTOR * this.meanFirstMs(service, now);
    this.getOrCreate(service).firstMs.add(Math.min(ms, maxMs), 1, now);
  }

  /**
   * Records the time for which a complete request has held its slot.
   *
   * @param service - name of the service
   * @param ms - the time. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  recordHold(service: string, ms: number, now: number): void {
    this.getOrCreate(service).holdMs.add(ms, 1, now);
  }

  /**
   * Returns the mean time to the first event of a request at a target of the mean pace, mostly without the time in a queue.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns the time. Unit: ms
   */
  meanFirstMs(service: string, now: number): number {
    const times = this.timesByService.get(service);
    return times?.firstMs.get(INITIAL_FIRST_MS, INITIAL_WEIGHT, now) ?? INITIAL_FIRST_MS;
  }

  /**
   * Returns the mean time for which an online request holds a slot.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns the time. Unit: ms
   */
  meanHoldMs(service: string, now: number): number {
    const times = this.timesByService.get(service);
    return times?.holdMs.get(INITIAL_HOLD_MS, INITIAL_WEIGHT, now) ?? INITIAL_HOLD_MS;
  }

  /**
   * Predicts the time between two slots that become free for this host. While targets are full, each host gets about as many
   * slots as its own requests free. The running requests are counted, as past rates are too low when a peak begins.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns the time; undefined if no request is running or has been completed, as after a start. Unit: ms
   */
  slotIntervalMs(service: string, now: number): number | undefined {
    const times = this.timesByService.get(service);
    const holdMs = times?.holdMs.getObserved(now);
    return !times || times.running === 0 || holdMs === undefined
      ? undefined
      : holdMs / times.running;
  }

  private getOrCreate(service: string): Times {
    const existing = this.timesByService.get(service);
    if (existing) return existing;
    const times = {
      firstMs: new DecayingMean(HALF_LIFE_MS),
      holdMs: new DecayingMean(HALF_LIFE_MS),
      running: 0,
    };
    this.timesByService.set(service, times);
    return times;
  }
}
