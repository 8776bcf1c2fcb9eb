/** Selects the target of a request by load, health and failure domain. */
import type { Target } from '../fleet/Target.js';
import {
  chooseByForecast,
  findShortestWaitMs,
  selectInTime,
} from '../placement/chooseByForecast.js';
import type { TargetForecast } from '../placement/forecastTarget.js';
import type { TargetLoad } from './LoadTable.js';

/**
 * Maximum number of online requests that queue at a target once its slots are in use. A chat holds a slot for
 * about 750 ms, so one of eight slots is freed every 95 ms, and two queued requests still meet an objective of 300 ms.
 */
const MAX_QUEUED_AT_TARGET = 2;

/**
 * Maximum time that a request which continues a stream queues at a target. Only targets of one version can serve it, so a
 * refusal mostly ends the stream, while its caller waits two seconds for the next event. With the time to the first event
 * it stays below the timeout for the response head. Unit: ms.
 */
const MAX_CONTINUATION_QUEUE_MS = 700;

/** Time for which a chat holds a slot. Unit: ms. */
const SLOT_HOLD_MS = 750;

/** Maximum number of online requests that queue at a target when a request that continues a stream is sent to it. */
const getMaxQueuedContinuations = ({ slots }: Target): number =>
  Math.max(MAX_QUEUED_AT_TARGET, Math.floor((slots * MAX_CONTINUATION_QUEUE_MS) / SLOT_HOLD_MS));

/** A target with its load and health as this host knows them. */
export interface Candidate {
  readonly target: Target;
  readonly load: TargetLoad;
  /** Whether the target's health allows new work. */
  readonly usable: boolean;
  /** Whether requests of this host did not wait for the target in vain. */
  readonly responsive: boolean;
  /** Number of other hosts that report the target as unresponsive. */
  readonly unresponsiveReports: number;
  /** Time per event as a multiple of the mean of the service; 1 unless it is learned. */
  readonly pace?: number;
  /** Predicted times of one more online request; undefined if targets are compared by numbers of requests. */
  readonly forecast?: TargetForecast;
}

/** Criteria for the target of an online request. */
export interface OnlineCriteria {
  readonly candidates: readonly Candidate[];
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Identities of targets on which the request has failed already. */
  readonly excluded: ReadonlySet<string>;
  /** Whether the request continues a stream, for which all candidates have the required version. */
  readonly isContinuation: boolean;
  /** Returns a random number in [0, 1). Random selection keeps hosts from all choosing the same target. */
  readonly random: () => number;
}

/** Numbers of targets that a request could not use, for the log. */
export interface CandidateCounts {
  /** Targets that accept requests and have the required version. */
  readonly accepting: number;
  /** Targets among them on which the request has failed already. */
  readonly excluded: number;
  /** Targets among the others that look unhealthy. */
  readonly unhealthy: number;
}

/** Result of the target selection for an online request. */
export type TargetChoice =
  | {
      readonly kind: 'target';
      readonly target: Target;
      /** Time until the request gets a slot of the target; 0 where it is unknown. Unit: ms. */
      readonly expectedWaitMs: number;
    }
  /** All slots and queues are taken by online requests. */
  | {
      readonly kind: 'full';
      readonly counts: CandidateCounts;
      /** Time until a slot is free at one of the targets; undefined where it is unknown. Unit: ms. */
      readonly expectedWaitMs: number | undefined;
    }
  /** The service has no targets, or all of them are excluded. */
  | { readonly kind: 'none'; readonly counts: CandidateCounts }
  /** The service has targets, but the request may be sent to none of them. */
  | { readonly kind: 'forbidden'; readonly counts: CandidateCounts };

/** Classes of targets by available capacity, in order of preference. */
const RANKS = {
  free: 0,
  freeAfterPreemption: 1,
  shortQueue: 2,
  /** Only for requests that continue a stream. */
  longQueue: 3,
  full: 4,
} as const;

const rankOf = ({ target, load }: Candidate, isContinuation: boolean): number => {
  if (load.online + load.batch < target.slots) return RANKS.free;
  if (load.online < target.slots) return RANKS.freeAfterPreemption;
  if (load.online < target.slots + MAX_QUEUED_AT_TARGET) return RANKS.shortQueue;
  return isContinuation && load.online < target.slots + getMaxQueuedContinuations(target)
    ? RANKS.longQueue
    : RANKS.full;
};

/** Number of further requests that fit a target of each rank. */
const capacityByRank: Readonly<Record<number, (candidate: Candidate) => number>> = {
  [RANKS.free]: ({ target, load }) => target.slots - load.online - load.batch,
  [RANKS.freeAfterPreemption]: ({ target, load }) => target.slots - load.online,
  [RANKS.shortQueue]: ({ target, load }) => target.slots + MAX_QUEUED_AT_TARGET - load.online,
  [RANKS.longQueue]: ({ target, load }) =>
    target.slots + getMaxQueuedContinuations(target) - load.online,
};

/** Candidates of the best rank; without a capacity if all of them are full. */
interface PreferredCandidates {
  readonly preferred: readonly Candidate[];
  readonly capacityOf: ((candidate: Candidate) => number) | undefined;
}

const findPreferred = (
  candidates: readonly Candidate[],
  isContinuation: boolean,
): PreferredCandidates => {
  const ranks = candidates.map((candidate) => rankOf(candidate, isContinuation));
  const bestRank = Math.min(...ranks);
  return {
    preferred: candidates.filter((_, index) => ranks[index] === bestRank),
    capacityOf: capacityByRank[bestRank],
  };
};

/** Draws a candidate at random, weighted by its capacity. */
const drawByCapacity = (
  candidates: readonly Candidate[],
  capacityOf: (candidate: Candidate) => number,
  random: () => number,
): Candidate => {
  const total = candidates.reduce((sum, candidate) => sum + capacityOf(candidate), 0);
  let draw = random() * total;
  const drawn = candidates.find((candidate) => {
    draw -= capacityOf(candidate);
    return draw < 0;
  });
  return drawn ?? candidates[0]!;
};

/**
 * Checks whether other hosts report the target as unresponsive. Two reports outweigh this host's own data, which may
 * be older.
 */
const isReportedUnresponsive = ({ unresponsiveReports }: Candidate): boolean =>
  unresponsiveReports >= 2;

/**
 * Checks whether a target looks healthy to this host and to the others.
 *
 * @param candidate - the target
 * @returns whether it is among the first choices
 */
export const looksHealthy = (candidate: Candidate): boolean =>
  candidate.usable && !isReportedUnresponsive(candidate);

/**
 * Selects the targets that are tried before a request is refused. Many unhealthy targets have only broken off a response.
 * Unresponsive ones would hold a new request that might be served elsewhere after a refusal. If all look unhealthy, the
 * data may be wrong.
 */
const selectLastResort = (
  possible: readonly Candidate[],
  usable: readonly Candidate[],
  isContinuation: boolean,
): readonly Candidate[] =>
  isContinuation || usable.length === 0
    ? possible
    : possible.filter((candidate) => candidate.responsive && !isReportedUnresponsive(candidate));

/** A candidate whose times are predicted. */
type ForecastCandidate = Candidate & { readonly forecast: TargetForecast };

const hasForecast = (candidate: Candidate): candidate is ForecastCandidate =>
  candidate.forecast !== undefined;

/** Lists the candidates to which a request may be sent, and those among them that look healthy. */
const selectUsable = ({
  candidates,
  excluded,
}: Pick<OnlineCriteria, 'candidates' | 'excluded'>): Readonly<
  Record<'possible' | 'usable', readonly Candidate[]>
> => {
  const possible = candidates.filter(({ target }) => !excluded.has(target.id));
  return { possible, usable: possible.filter(looksHealthy) };
};

/**
 * Finds what keeps new work from a target that accepts requests.
 *
 * @param candidate - the target
 * @param isContinuation - whether the work continues a stream
 * @returns the obstacle; undefined if an online request could be sent there
 */
export const findObstacle = (
  candidate: Candidate,
  isContinuation: boolean,
): 'unhealthy' | 'full' | undefined => {
  if (!candidate.usable || isReportedUnresponsive(candidate)) return 'unhealthy';
  const hasRoom = hasForecast(candidate)
    ? selectInTime([candidate], isContinuation).length > 0
    : rankOf(candidate, isContinuation) !== RANKS.full;
  return hasRoom ? undefined : 'full';
};

/**
 * Checks whether a request could be sent to a target that looks healthy and is not full.
 *
 * @param criteria - candidates and properties of the request
 * @returns whether there is one
 */
export const hasUsableTarget = (
  criteria: Pick<OnlineCriteria, 'candidates' | 'excluded' | 'isContinuation'>,
): boolean => {
  const { usable } = selectUsable(criteria);
  if (usable.every(hasForecast)) return selectInTime(usable, criteria.isContinuation).length > 0;
  return findPreferred(usable, criteria.isContinuation).capacityOf !== undefined;
};

/** Draws a target by predicted times; falls back to the targets that are tried last. */
const chooseAmongForecasts = (
  groups: readonly (readonly ForecastCandidate[])[],
  { failureDomain, isContinuation, random }: OnlineCriteria,
  counts: CandidateCounts,
): TargetChoice => {
  const chosen = groups
    .map((candidates) => chooseByForecast({ candidates, failureDomain, isContinuation, random }))
    .find((candidate) => candidate !== undefined);
  return chosen
    ? { kind: 'target', target: chosen.target, expectedWaitMs: chosen.forecast.waitMs }
    : { kind: 'full', counts, expectedWaitMs: findShortestWaitMs(groups.flat()) };
};

/**
 * Chooses the target of an online request. Load data is about 100 ms old, and in that time a failure domain of twenty
 * hosts places a dozen requests. If all of them went to the target with the most free slots, they would queue there
 * while other targets are idle.
 *
 * @param criteria - candidates and properties of the request
 * @returns a target, or why there is none
 */
export const chooseTarget = (criteria: OnlineCriteria): TargetChoice => {
  const { candidates, failureDomain, excluded, isContinuation, random } = criteria;
  const { possible, usable } = selectUsable({ candidates, excluded });
  const counts = {
    accepting: candidates.length,
    excluded: candidates.length - possible.length,
    unhealthy: possible.length - usable.length,
  };
  if (possible.length === 0) return { kind: 'none', counts };
  if (possible.every(hasForecast)) {
    const groups = [
      usable.filter(hasForecast),
      selectLastResort(possible, usable, isContinuation).filter(hasForecast),
    ];
    return chooseAmongForecasts(groups, criteria, counts);
  }
  const healthy = findPreferred(usable, isContinuation);
  const { preferred, capacityOf } = healthy.capacityOf
    ? healthy
    : findPreferred(selectLastResort(possible, usable, isContinuation), isContinuation);
  if (!capacityOf) return { kind: 'full', counts, expectedWaitMs: undefined };
  const local = preferred.filter(({ target }) => target.failureDomain === failureDomain);
  const { target } = drawByCapacity(local.length > 0 ? local : preferred, capacityOf, random);
  return { kind: 'target', target, expectedWaitMs: 0 };
};

/** Criteria for the target of a batch item. */
export interface BatchCriteria {
  readonly candidates: readonly Candidate[];
  readonly failureDomain: string;
  /** Returns the number of slots of a target that this host may use now. */
  readonly allowanceOf: (candidate: Candidate) => number;
  /**
   * Whether the item has little time left, so that it prefers fast targets. Others leave these to online requests, which
   * would preempt them there.
   */
  readonly isUrgent?: boolean;
  readonly random: () => number;
}

/**
 * Chooses the target of a batch item: the one with the most free slots among those where this host may use a slot.
 *
 * @param criteria - candidates and properties of this host
 * @returns the target; undefined when this host may use no slot
 */
export const chooseBatchTarget = ({
  candidates,
  failureDomain,
  allowanceOf,
  isUrgent = false,
  random,
}: BatchCriteria): Target | undefined => {
  const eligible = candidates
    .filter((candidate) => looksHealthy(candidate) && allowanceOf(candidate) > 0)
    .map(({ target, load, pace = 1 }) => ({
      target,
      free: (target.slots - load.online - load.batch) / (isUrgent ? pace : 1),
      distance: target.failureDomain === failureDomain ? 0 : 1,
      draw: random(),
    }));
  eligible.sort((a, b) => b.free - a.free || a.distance - b.distance || a.draw - b.draw);
  return eligible[0]?.target;
};

/** Running requests on one target, with the hosts that hold its batch items. */
export interface TargetOccupancy {
  /** Slots of the target. */
  readonly slots: number;
  readonly load: TargetLoad;
  /** Hosts with batch items on the target, in the same order on every host. */
  readonly holders: readonly { readonly host: string; readonly batch: number }[];
  readonly ownName: string;
}

/**
 * Lists the other hosts with batch items on an overloaded target. They are notified at once instead of with the next
 * scheduled report, because an online request is queued at the target.
 *
 * @param occupancy - load and holders, including this host's latest request
 * @returns names of other hosts
 */
export const findHoldersToNotify = ({
  slots,
  load,
  holders,
  ownName,
}: TargetOccupancy): string[] =>
  load.online + load.batch <= slots
    ? []
    : holders.map(({ host }) => host).filter((host) => host !== ownName);

/**
 * Counts the batch items that this host cancels on an overloaded target, so that its online requests get a slot.
 * The items to cancel are divided among the hosts.
 *
 * @param occupancy - load and holders
 * @returns number of batch items that this host cancels
 */
export const countItemsToCancel = ({ slots, load, holders, ownName }: TargetOccupancy): number => {
  const excess = Math.min(load.batch, Math.max(0, load.online + load.batch - slots));
  // Takes one item per holder in each round, so that no host has to cancel all of its items alone.
  const items = holders
    .flatMap(({ host, batch }) => Array.from({ length: batch }, (_, round) => ({ host, round })))
    .sort((a, b) => a.round - b.round);
  return items.slice(0, excess).filter(({ host }) => host === ownName).length;
};
