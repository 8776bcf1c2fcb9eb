/** Records this host's requests on each target: what they still have to do, and what their responses show of the target. */
import type { Target } from '../fleet/Target.js';
import { DecayingMean } from './DecayingMean.js';
import { OutputEstimator } from './OutputEstimator.js';
import type { RequestSize } from './RequestSize.js';
import type { PlacementStrategy } from './strategies.js';
import { TargetPaces } from './TargetPaces.js';

/** Half-life of the mean time to the first event and of the mean duration of responses. Unit: ms. */
const HALF_LIFE_MS = 10_000;

/** Weight of the initial means. Unit: responses. */
const INITIAL_WEIGHT = 5;

/** Time to the first event of a request that waits for no slot, before any response. Unit: ms. */
const INITIAL_FIRST_MS = 80;

/** Time for which an online request holds a slot, before any response. Unit: ms. */
const INITIAL_HOLD_MS = 750;

/** Part of the estimated events that a response which has reached its estimate is expected to still have. */
const OVERDUE_FRACTION = 0.2;

/** A request that is sent to a target. */
export interface WorkDescription {
  readonly target: Target;
  /** Undefined if its caller states no size. */
  readonly size: RequestSize | undefined;
  /** Items yield their slot to online requests, so that none waits for them. */
  readonly work: 'online' | 'batch';
}

/** A request on a target. */
export interface RunningWork {
  /**
   * Records the events of its response.
   *
   * @param events - number of events so far
   * @param now - monotonic time. Unit: ms
   */
  recordEvents(events: number, now?: number): void;

  /**
   * Removes the request. Further calls have no effect.
   *
   * @param isComplete - whether the response had all of its events
   * @param now - monotonic time. Unit: ms
   */
  end(isComplete: boolean, now?: number): void;
}

interface Run {
  readonly estimatedEvents: number;
  events: number;
  /** Monotonic time of the latest event. Unit: ms. */
  lastEventAt: number;
}

const getRemainingEvents = ({ estimatedEvents, events }: Run): number =>
  Math.max(estimatedEvents - events, estimatedEvents * OVERDUE_FRACTION);

/** Work of this host on the targets. */
export class WorkLedger {
  private readonly paces = new TargetPaces();

  private readonly outputs = new OutputEstimator();

  private readonly runsByTarget = new Map<string, Set<Run>>();

  private readonly firstMs = new DecayingMean(HALF_LIFE_MS);

  private readonly holdMs = new DecayingMean(HALF_LIFE_MS);

  constructor(private readonly strategy: PlacementStrategy) {}

  /**
   * Records that a request is sent to a target.
   *
   * @param description - the request
   * @param now - monotonic time. Unit: ms
   * @returns the request on the target
   */
  begin({ target, size, work }: WorkDescription, now = performance.now()): RunningWork {
    const run: Run = {
      estimatedEvents: this.outputs.estimateEvents(target.service, size),
      events: 0,
      lastEventAt: now,
    };
    if (work === 'online') this.addRun(target.id, run);
    let hasEnded = false;
    return {
      recordEvents: (events, at = performance.now()) => {
        if (events <= run.events) return;
        const elapsedMs = at - run.lastEventAt;
        // The time to the first event contains that in the queue and that for the prompt.
        if (run.events > 0) this.paces.record(target, events - run.events, elapsedMs, at);
        else if (work === 'online') this.recordFirstEvent(target, elapsedMs, at);
        Object.assign(run, { events, lastEventAt: at });
      },
      end: (isComplete, at = performance.now()) => {
        if (hasEnded) return;
        hasEnded = true;
        this.removeRun(target.id, run);
        // An item is mostly completed in several runs, of which this is only the last one.
        if (!isComplete || work === 'batch') return;
        this.outputs.record(target.service, size, run.events);
        this.holdMs.add(at - now, 1, at);
      },
    };
  }

  /**
   * Returns what this host's online requests still have to do on a target.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   * @returns time for which they hold slots. Unit: ms
   */
  workLeftMs(target: Pick<Target, 'id' | 'bornAt' | 'service'>, now = performance.now()): number {
    const runs = this.runsByTarget.get(target.id);
    if (!runs) return 0;
    const events = [...runs].reduce((sum, run) => sum + getRemainingEvents(run), 0);
    const pace = this.relativePace(target, now);
    return events * pace * this.paces.meanMsPerEvent(target.service, now);
  }

  /**
   * Returns the pace of a target relative to its service.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   * @returns its time per event as a multiple of the mean; 1 if paces are not taken into account
   */
  relativePace(target: Pick<Target, 'id' | 'bornAt' | 'service'>, now: number): number {
    return this.strategy.usesPace ? this.paces.relativePace(target, now) : 1;
  }

  /**
   * Estimates how long a request holds a slot at a target of the mean pace.
   *
   * @param service - name of the service
   * @param size - size of the request; undefined if its caller states none
   * @param now - monotonic time. Unit: ms
   * @returns the time; the mean if costs are not taken into account. Unit: ms
   */
  estimateHoldMs(service: string, size: RequestSize | undefined, now: number): number {
    if (!this.strategy.usesCost) return this.meanHoldMs(now);
    return (
      this.meanFirstMs(now) +
      this.outputs.estimateEvents(service, size) * this.paces.meanMsPerEvent(service, now)
    );
  }

  /**
   * Forgets the pace of a target that has failed, as it may return with another one.
   *
   * @param id - identity of the target
   */
  forgetPace(id: string): void {
    this.paces.forget(id);
  }

  /**
   * Keeps only the paces of registered targets.
   *
   * @param ids - identities of all targets
   */
  retainPaces(ids: ReadonlySet<string>): void {
    this.paces.retain(ids);
  }

  /**
   * Returns the mean time to the first event of a request at a target of the mean pace, without the time in a queue.
   *
   * @param now - monotonic time. Unit: ms
   * @returns the time. Unit: ms
   */
  meanFirstMs(now: number): number {
    return this.firstMs.get(INITIAL_FIRST_MS, INITIAL_WEIGHT, now);
  }

  /**
   * Returns the mean time for which an online request holds a slot.
   *
   * @param now - monotonic time. Unit: ms
   * @returns the time. Unit: ms
   */
  meanHoldMs(now: number): number {
    return this.holdMs.get(INITIAL_HOLD_MS, INITIAL_WEIGHT, now);
  }

  /** Records a time to the first event. One that is far above the mean contains time in a queue. */
  private recordFirstEvent(target: Target, elapsedMs: number, now: number): void {
    const mean = this.meanFirstMs(now);
    const atMeanPace = elapsedMs / this.relativePace(target, now);
    if (atMeanPace < 2 * mean) this.firstMs.add(atMeanPace, 1, now);
  }

  private addRun(target: string, run: Run): void {
    const runs = this.runsByTarget.get(target) ?? new Set();
    this.runsByTarget.set(target, runs);
    runs.add(run);
  }

  private removeRun(target: string, run: Run): void {
    const runs = this.runsByTarget.get(target);
    if (runs?.delete(run) && runs.size === 0) this.runsByTarget.delete(target);
  }
}
