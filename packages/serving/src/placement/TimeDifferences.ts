/** Learns by how much the targets of a service differ in pace, and its requests in cost. */
import type { Target } from '../fleet/Target.js';
import { DecayingMoments, type Moments } from './DecayingMoments.js';
import { estimateDeviation } from './estimateDeviation.js';

/** Half-life of what is known of a target or a service. Unit: ms. */
const HALF_LIFE_MS = 30_000;

/** Weight from which the spread of the costs of a service is known. Unit: responses. */
const MIN_COST_WEIGHT = 10;

/** Weight below which a target counts as one without responses. */
const MIN_TARGET_WEIGHT = 0.5;

type TargetKey = Pick<Target, 'id' | 'bornAt' | 'service' | 'slots'>;

interface TargetResponses {
  readonly target: TargetKey;
  readonly paces: DecayingMoments;
}

/** Differences between targets and between requests, as the responses to this host show them. */
export class TimeDifferences {
  private readonly responsesByTarget = new Map<string, TargetResponses>();

  private readonly costsByService = new Map<string, DecayingMoments>();

  /**
   * Records the pace of a response.
   *
   * @param target - the target
   * @param msPerEvent - mean time between two of its events. Unit: ms
   * @param now - monotonic time. Unit: ms
   */
  recordPace({ id, bornAt, service, slots }: TargetKey, msPerEvent: number, now: number): void {
    if (msPerEvent <= 0) return;
    const existing = this.responsesByTarget.get(id);
    const responses =
      existing?.target.bornAt === bornAt
        ? existing
        : { target: { id, bornAt, service, slots }, paces: new DecayingMoments(HALF_LIFE_MS) };
    this.responsesByTarget.set(id, responses);
    responses.paces.add(Math.log(msPerEvent), now);
  }

  /**
   * Records what a completed request was expected to cost.
   *
   * @param service - name of the service
   * @param estimatedEvents - estimated number of events
   * @param now - monotonic time. Unit: ms
   */
  recordCost(service: string, estimatedEvents: number, now: number): void {
    const costs = this.costsByService.get(service) ?? new DecayingMoments(HALF_LIFE_MS);
    this.costsByService.set(service, costs);
    costs.add(Math.log(estimatedEvents), now);
  }

  /**
   * Forgets the responses of a target.
   *
   * @param id - identity of the target
   */
  forget(id: string): void {
    this.responsesByTarget.delete(id);
  }

  /**
   * Keeps only the responses of registered targets.
   *
   * @param ids - identities of all targets
   */
  retain(ids: ReadonlySet<string>): void {
    [...this.responsesByTarget.keys()]
      .filter((id) => !ids.has(id))
      .forEach((id) => this.responsesByTarget.delete(id));
  }

  /**
   * Estimates by how much the paces of the targets of a service differ, beyond what differs between responses of one target.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns standard deviation of the logarithm of the pace; undefined if too few responses are known
   */
  paceDeviation(service: string, now: number): number | undefined {
    const groups: Moments[] = [...this.responsesByTarget.values()]
      .filter(({ target }) => target.service === service)
      .map(({ paces }) => paces.get(now))
      .filter(({ weight }) => weight >= MIN_TARGET_WEIGHT);
    return estimateDeviation(groups);
  }

  /**
   * Returns the mean number of slots of the targets of a service.
   *
   * @param service - name of the service
   * @returns number of slots; undefined without responses
   */
  meanSlots(service: string): number | undefined {
    const slots = [...this.responsesByTarget.values()]
      .filter(({ target }) => target.service === service)
      .map(({ target }) => target.slots);
    return slots.length > 0 ? slots.reduce((sum, each) => sum + each, 0) / slots.length : undefined;
  }

  /**
   * Estimates by how much the costs of the requests of a service differ, as far as they can be told before a response.
   *
   * @param service - name of the service
   * @param now - monotonic time. Unit: ms
   * @returns standard deviation of the logarithm of the estimated cost; undefined if too few responses are known
   */
  costDeviation(service: string, now: number): number | undefined {
    const costs = this.costsByService.get(service)?.get(now);
    if (!costs || costs.weight < MIN_COST_WEIGHT) return undefined;
    return Math.sqrt(costs.squares / costs.weight);
  }
}
