/** Records this host's requests on each target: what they still have to do, and what their responses show of the target. */
import type { Target } from '../fleet/Target.js';
import { AccountWork } from './AccountWork.js';
import { OutputEstimator } from './OutputEstimator.js';
import type { RequestSize } from './RequestSize.js';
import { ServiceTimes } from './ServiceTimes.js';
import type { PlacementStrategy } from './strategies.js';
import { TargetPaces } from './TargetPaces.js';
import { TimeDifferences } from './TimeDifferences.js';

/** Part of the estimated events that a response which has reached its estimate is expected to still have. */
const OVERDUE_FRACTION = 0.2;

/** Number of events after the first ones, from which the time per event of a response is compared with that of others. */
const MIN_PACED_EVENTS = 4;

/** A request that is sent to a target. */
export interface WorkDescription {
  readonly target: Target;
  /** Undefined if its caller states no size. */
  readonly size: RequestSize | undefined;
  /** Items yield their slot to online requests, so that none waits for them. */
  readonly work: 'online' | 'batch';
  /** Name of the client account of an online request; undefined on open routes. */
  readonly account?: string | undefined;
}

/** What is read from a ledger. Nothing else is recorded. */
export interface LedgerUse {
  /** Strategy by which targets are chosen. */
  readonly strategy: PlacementStrategy;
  /** Whether admission reads the times of services and the work of accounts. */
  readonly informsAdmission: boolean;
}

/** A request on a target. */
export interface RunningWork {
  /**
   * Records the events of its response.
   *
   * @param events - number of events so far
   * @param at - monotonic time; now if it is absent. Unit: ms
   */
  recordEvents(events: number, at?: number): void;

  /**
   * Removes the request. Further calls have no effect.
   *
   * @param isComplete - whether the response had all of its events
   * @param at - monotonic time; now if it is absent. Unit: ms
   */
  end(isComplete: boolean, at?: number): void;
}

const UNRECORDED_WORK: RunningWork = { recordEvents: () => undefined, end: () => undefined };

interface Run {
  readonly estimatedEvents: number;
  events: number;
  /** Monotonic time. Unit: ms. */
  readonly begunAt: number;
  /** Number of events that arrived together with the first one. */
  firstEvents: number;
  /** Monotonic times of the first and the latest event. Unit: ms. */
  firstEventAt: number;
  lastEventAt: number;
}

const getRemainingEvents = ({ estimatedEvents, events }: Run): number =>
  Math.max(estimatedEvents - events, estimatedEvents * OVERDUE_FRACTION);

/** Work of this host on the targets. */
export class WorkLedger {
  private readonly paces = new TargetPaces();

  private readonly outputs = new OutputEstimator();

  private readonly runsByTarget = new Map<string, Set<Run>>();

  /** By how much targets and requests of a service differ. */
  readonly differences = new TimeDifferences();

  /** Times of the services. */
  readonly times = new ServiceTimes();

  /** Work of the accounts' requests. */
  readonly accounts = new AccountWork();

  constructor(private readonly use: LedgerUse) {}

  /**
   * Records that a request is sent to a target.
   *
   * @param description - the request
   * @param now - monotonic time. Unit: ms
   * @returns the request on the target
   */
  begin(description: WorkDescription, now = performance.now()): RunningWork {
    const { target, size, work } = description;
    const { predictsTimes } = this.use.strategy;
    const isOnline = work === 'online';
    if (!predictsTimes && !(this.use.informsAdmission && isOnline)) return UNRECORDED_WORK;
    const run: Run = {
      estimatedEvents: this.outputs.estimateEvents(target.service, size),
      events: 0,
      begunAt: now,
      firstEvents: 0,
      firstEventAt: now,
      lastEventAt: now,
    };
    if (isOnline) {
      this.times.begin(target.service);
      if (predictsTimes) this.addRun(target.id, run);
    }
    let hasEnded = false;
    return {
      recordEvents: (events, at) => {
        if (events <= run.events) return;
        if (run.events === 0)
          this.recordFirstEvents(description, run, events, at ?? performance.now());
        else if (predictsTimes)
          this.recordPace(target, run, events - run.events, at ?? performance.now());
        run.events = events;
      },
      end: (isComplete, at = performance.now()) => {
        if (hasEnded) return;
        hasEnded = true;
        this.endRun(description, run, isComplete, at);
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
    return this.use.strategy.usesPace ? this.paces.relativePace(target, now) : 1;
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
    if (!this.use.strategy.usesCost) return this.times.meanHoldMs(service, now);
    return (
      this.times.meanFirstMs(service, now) +
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
    this.differences.forget(id);
  }

  /**
   * Keeps only the paces of registered targets.
   *
   * @param ids - identities of all targets
   */
  retainPaces(ids: ReadonlySet<string>): void {
    this.paces.retain(ids);
    this.differences.retain(ids);
  }

  private recordFirstEvents(
    { target, work }: WorkDescription,
    run: Run,
    firstEvents: number,
    now: number,
  ): void {
    Object.assign(run, { firstEvents, firstEventAt: now, lastEventAt: now });
    if (work === 'batch') return;
    const atMeanPace = (now - run.begunAt) / this.relativePace(target, now);
    this.times.recordFirst(target.service, atMeanPace, now);
  }

  /** Records the time between events. That before the first one contains the time in a queue and that for the prompt. */
  private recordPace(target: Target, run: Run, events: number, now: number): void {
    this.paces.record(target, events, now - run.lastEventAt, now);
    Object.assign(run, { lastEventAt: now });
  }

  private endRun(
    { target, size, work, account }: WorkDescription,
    run: Run,
    isComplete: boolean,
    now: number,
  ): void {
    const { service } = target;
    const { isAdaptive } = this.use.strategy;
    if (isAdaptive) this.recordDifferences(target, run, now);
    // An item is mostly completed in several runs, of which this is only the last one.
    if (work === 'batch') return;
    this.removeRun(target.id, run);
    this.times.end(service);
    // A response that was cut has used its slot, but doesn't tell how long a complete one takes.
    if (account !== undefined) this.accounts.record(account, now - run.begunAt, now);
    if (!isComplete) return;
    if (this.use.strategy.predictsTimes) this.outputs.record(service, size, run.events);
    this.times.recordHold(service, now - run.begunAt, now);
    if (isAdaptive) this.differences.recordCost(service, run.estimatedEvents, now);
  }

  /** Records the pace of a response, or of the part of it that has been received. */
  private recordDifferences(target: Target, run: Run, now: number): void {
    const events = run.events - run.firstEvents;
    if (events < MIN_PACED_EVENTS) return;
    const msPerEvent = (run.lastEventAt - run.firstEventAt) / events;
    this.differences.recordPace(target, msPerEvent, now);
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
