/** Chooses among targets by their predicted times to the first event. */
import type { Target } from '../fleet/Target.js';
import type { TargetLoad } from '../routing/LoadTable.js';
import type { TargetForecast } from './forecastTarget.js';

/**
 * Maximum predicted wait for a slot. With the time to the first event, a request that waits longer misses the usual
 * objective of 300 ms. Unit: ms.
 */
const MAX_WAIT_MS = 200;

/** Maximum predicted wait of a request that continues a stream, whose refusal mostly ends the stream. Unit: ms. */
const MAX_CONTINUATION_WAIT_MS = 700;

/** Difference in time that outweighs the price of traffic between failure domains. Unit: ms. */
const REMOTE_PENALTY_MS = 60;

/**
 * Difference in time that outweighs a preempted batch item, which reads its prompt again. More than
 * {@link REMOTE_PENALTY_MS}: a free slot in another failure domain goes first. Unit: ms.
 */
const PREEMPTION_PENALTY_MS = 80;

/**
 * Difference in predicted time at which a target is chosen e times as often as another. Hosts see the same idle target at the
 * same time, so that none of them may always choose the best one. Unit: ms.
 */
const INDIFFERENCE_MS = 30;

/** Weight of the time for which a request holds a slot, against that to its first event: costly requests go to fast targets. */
const HOLD_WEIGHT = 0.05;

/** A target with its prediction. */
export interface ForecastCandidate {
  readonly target: Target;
  readonly load: TargetLoad;
  readonly forecast: TargetForecast;
}

/** Criteria of a choice. */
export interface ForecastCriteria {
  readonly candidates: readonly ForecastCandidate[];
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Whether the request continues a stream. */
  readonly isContinuation: boolean;
  /** Returns a random number in [0, 1). */
  readonly random: () => number;
}

const getMaxWaitMs = (isContinuation: boolean): number =>
  isContinuation ? MAX_CONTINUATION_WAIT_MS : MAX_WAIT_MS;

/**
 * Lists the targets at which a request gets a slot in time, if their counts of requests are right. An error of old counts
 * lengthens the expected wait, but is no reason to refuse a request.
 *
 * @param candidates - targets with their predictions
 * @param isContinuation - whether the request continues a stream
 * @returns those whose predicted wait is short enough
 */
export const selectInTime = <Type extends ForecastCandidate>(
  candidates: readonly Type[],
  isContinuation: boolean,
): readonly Type[] =>
  candidates.filter(({ forecast }) => forecast.countedWaitMs <= getMaxWaitMs(isContinuation));

/**
 * Chooses a target: more often one with an early first event, one with more free slots, and one in the same failure domain.
 *
 * @param criteria - targets with their predictions, and properties of this host
 * @returns the target with its prediction; undefined if the wait would be too long at all of them
 */
export const chooseByForecast = ({
  candidates,
  failureDomain,
  isContinuation,
  random,
}: ForecastCriteria): ForecastCandidate | undefined => {
  const inTime = selectInTime(candidates, isContinuation);
  const scores = inTime.map(
    ({ target, forecast }) =>
      forecast.firstMs +
      forecast.holdMs * HOLD_WEIGHT +
      forecast.preemptions * PREEMPTION_PENALTY_MS +
      (target.failureDomain === failureDomain ? 0 : REMOTE_PENALTY_MS),
  );
  const best = Math.min(...scores);
  const weights = inTime.map(
    ({ target, load }, index) =>
      Math.max(1, target.slots - load.online) * Math.exp((best - scores[index]!) / INDIFFERENCE_MS),
  );
  let draw = random() * weights.reduce((sum, weight) => sum + weight, 0);
  const drawn = weights.findIndex((weight) => {
    draw -= weight;
    return draw < 0;
  });
  return inTime[Math.max(0, drawn)];
};

/**
 * Returns the time until a request would get a slot at one of the targets.
 *
 * @param candidates - targets with their predictions
 * @returns the shortest predicted wait; undefined without targets. Unit: ms
 */
export const findShortestWaitMs = (candidates: readonly ForecastCandidate[]): number | undefined =>
  candidates.length === 0
    ? undefined
    : Math.min(...candidates.map(({ forecast }) => forecast.waitMs));
