/**
 * Learns the time per event of each target from its responses. Answers the load of a service whose targets differ in pace,
 * some of them only for a moment.
 */
import type { Target } from '../fleet/Target.js';
import { DecayingMean } from './DecayingMean.js';

/** Half-life of what is known of a target's usual pace. Unit: ms. */
const USUAL_HALF_LIFE_MS = 8000;

/** Half-life of what is known of a target's pace at the moment. Unit: ms. */
const MOMENTARY_HALF_LIFE_MS = 400;

/** Half-life of the mean pace of a service. Unit: ms. */
const SERVICE_HALF_LIFE_MS = 30_000;

/** Weight of the mean of the service against the observations of one of its targets. Unit: events. */
const SERVICE_WEIGHT = 12;

/** Weight of a target's usual pace against the newest observations. Unit: events. */
const USUAL_WEIGHT = 6;

/** Weight of the initial time per event. Unit: events. */
const INITIAL_WEIGHT = 30;

/** Time per event before any response. Unit: ms. */
const INITIAL_MS_PER_EVENT = 25;

/** Bounds of a target's time per event as a multiple of the mean, so that a few wrong observations don't exclude it. */
const RELATIVE_PACE_BOUNDS = { min: 0.25, max: 6 } as const;

type TargetKey = Pick<Target, 'id' | 'bornAt' | 'service'>;

interface TargetObservations {
  readonly bornAt: number;
  readonly usual: DecayingMean;
  readonly momentary: DecayingMean;
}

/** Paces of the targets, as the responses to this host show them. */
export class TargetPaces {
  private readonly observationsByTarget = new Map<string, TargetObservations>();

  private readonly meansByService = new Map<string, DecayingMean>();

  /**
   * Records events of a response.
   *
   * @param target - the target
   * @param events - number of events
   * @param elapsedMs - time since the event before them. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  record(target: TargetKey, events: number, elapsedMs: number, now: number): void {
    if (events <= 0) return;
    const { usual, momentary } = this.getOrCreate(target);
    const msPerEvent = elapsedMs / events;
    usual.add(msPerEvent, events, now);
    momentary.add(msPerEvent, events, now);
    const mean = this.meansByService.get(target.service) ?? new DecayingMean(SERVICE_HALF_LIFE_MS);
    this.meansByService.set(target.service, mean);
    mean.add(msPerEvent, events, now);
  }

  /**
   * Forgets what is known of a target, which may have another pace when it is used again.
   *
   * @param id - identity of the target
   */
  forget(id: string): void {
    this.observationsByTarget.delete(id);
  }

  /**
   * Keeps only what is known of registered targets.
   *
   * @param ids - identities of all targets
   */
  retain(ids: ReadonlySet<string>): void {
    [...this.observationsByTarget.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.observationsByTarget.delete(id));
  }

  /**
   * Returns the mean time per event of a service.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns time per event. Unit: ms
   */
  meanMsPerEvent(service: string, now: number): number {
    return (
      this.meansByService.get(service)?.get(INITIAL_MS_PER_EVENT, INITIAL_WEIGHT, now) ??
      INITIAL_MS_PER_EVENT
    );
  }

  /**
   * Returns the pace of a target relative to its service. A target without observations has the mean of its service.
   *
   * @param target - the target
   * @param now - monotonic time. Unit: ms
   * @returns its time per event as a multiple of the mean; more than 1 for slow targets
   */
  relativePace(target: TargetKey, now: number): number {
    const observations = this.observationsByTarget.get(target.id);
    if (observations?.bornAt !== target.bornAt) return 1;
    const mean = this.meanMsPerEvent(target.service, now);
    const usual = observations.usual.get(mean, SERVICE_WEIGHT, now);
    const current = observations.momentary.get(usual, USUAL_WEIGHT, now);
    const { min, max } = RELATIVE_PACE_BOUNDS;
    return Math.min(max, Math.max(min, current / mean));
  }

  private getOrCreate({ id, bornAt }: TargetKey): TargetObservations {
    const existing = this.observationsByTarget.get(id);
    if (existing?.bornAt === bornAt) return existing;
    const created = {
      bornAt,
      usual: new DecayingMean(USUAL_HALF_LIFE_MS),
      momentary: new DecayingMean(MOMENTARY_HALF_LIFE_MS),
    };
    this.observationsByTarget.set(id, created);
    return created;
  }
}
