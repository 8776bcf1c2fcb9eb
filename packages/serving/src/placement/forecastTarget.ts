/** Predicts the time to the first event at a target. Answers pulses of requests at targets of different paces. */

/** Time until a batch item has left its slot, with the message to the host that holds it. Unit: ms. */
const PREEMPTION_MS = 40;

/** Age of what is known of other hosts when none of them has reported requests on the target. Unit: ms. */
const DEFAULT_AGE_MS = 150;

/** Number of requests by which the count of a target may be wrong even if all reports are new. */
const MIN_COUNT_ERROR = 0.25;

/** Width of the transition of {@link softPositive} for a normally distributed error, in standard deviations. */
const TRANSITION_WIDTH = 0.55;

/** What a host knows of a target. */
export interface TargetKnowledge {
  readonly slots: number;
  /** Online requests of all hosts. */
  readonly online: number;
  /** Batch items of all hosts. */
  readonly batch: number;
  /** Online requests of other hosts, as reported. */
  readonly reportedOnline: number;
  /** Age of the reports; undefined without reported requests. Unit: ms. */
  readonly reportAgeMs: number | undefined;
  /** Time for which the online requests hold slots from now on; undefined if it is not estimated. Unit: ms. */
  readonly workLeftMs: number | undefined;
  /** Time per event as a multiple of the mean of the service. */
  readonly pace: number;
  /** Mean time for which an online request holds a slot. Unit: ms. */
  readonly meanHoldMs: number;
  /** Mean time to the first event without a queue. Unit: ms. */
  readonly meanFirstMs: number;
  /** Time for which the request itself is expected to hold a slot at a target of the mean pace. Unit: ms. */
  readonly ownHoldMs: number;
}

/** Prediction for one more online request at a target. */
export interface TargetForecast {
  /** Expected time until the request gets a slot. Unit: ms. */
  readonly waitMs: number;
  /** The same if the counts of requests are right: 0 while online requests leave a slot. Unit: ms. */
  readonly countedWaitMs: number;
  /** Time until its first event. Unit: ms. */
  readonly firstMs: number;
  /** Time for which it holds the slot. Unit: ms. */
  readonly holdMs: number;
  /** Number of batch items that have to leave for it, between 0 and 1. */
  readonly preemptions: number;
}

/** Expected value of the positive part of a number that is known with an error. */
const softPositive = (value: number, width: number): number =>
  width * Math.log1p(Math.exp(Math.min(50, value / width)));

/**
 * Returns the mean time that the requests on a target still hold their slots. The older the reports, the more of these
 * requests have been replaced by others, of which only the mean is known.
 */
const getMeanResidualMs = (knowledge: TargetKnowledge): number => {
  const { online, reportedOnline, reportAgeMs = 0, workLeftMs, pace, meanHoldMs } = knowledge;
  const mean = (meanHoldMs / 2) * pace;
  if (workLeftMs === undefined || online === 0) return mean;
  const ageMs = (reportAgeMs * reportedOnline) / online;
  return mean + (workLeftMs / online - mean) * Math.exp(-ageMs / meanHoldMs);
};

/**
 * Predicts when a request that is sent to a target now begins to be served.
 *
 * @param knowledge - what this host knows of the target
 * @returns the prediction
 */
export const forecastTarget = (knowledge: TargetKnowledge): TargetForecast => {
  const { slots, online, batch, reportedOnline, reportAgeMs, pace } = knowledge;
  const { meanHoldMs, meanFirstMs, ownHoldMs } = knowledge;
  // As many requests have begun as have ended since the reports, on average. Once all have been replaced, the error grows no more.
  const replacedPart = 1 - Math.exp(-(reportAgeMs ?? DEFAULT_AGE_MS) / meanHoldMs);
  const replaced = Math.max(1, reportedOnline) * replacedPart;
  const width = Math.max(MIN_COUNT_ERROR, TRANSITION_WIDTH * Math.sqrt(2 * replaced));
  const queued = softPositive(online + 1 - slots, width);
  const excess = softPositive(online + batch + 1 - slots, width) - queued;
  const preemptions = batch > 0 ? Math.min(1, excess) : 0;
  // The first of N residual times that are spread evenly ends after 1 / (N + 1) of the longest one.
  const slotEndIntervalMs = (2 * getMeanResidualMs(knowledge)) / (slots + 1);
  const waitMs = queued * slotEndIntervalMs + preemptions * PREEMPTION_MS;
  return {
    waitMs,
    countedWaitMs: Math.max(0, online + 1 - slots) * slotEndIntervalMs,
    firstMs: waitMs + meanFirstMs * pace,
    holdMs: ownHoldMs * pace,
    preemptions,
  };
};
