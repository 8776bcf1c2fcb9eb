/**
 * Finds the content on which targets crash. A crash ends all requests on its target, so most requests that fail with
 * it are sound, and a sound request shares its account and most parts of its prompt with the one that caused the crash.
 *
 * Content that crashes targets fails each time a target begins to process it. So a culprit has not been served since the
 * first of its crashes, and its failures are too many to be the bad luck of sound content.
 */

import { isRequestKey } from './contentKeys.js';

/** Minimum number of crashes before content counts as their cause. */
const MIN_CRASHES = 3;

/**
 * Maximum probability that sound content would have failed as often by chance. Many parts of prompts are suspects at the
 * same time, and one of them stands for many requests.
 */
const MAX_CHANCE = { part: 1e-5, request: 1e-3 } as const;

/**
 * Other requests that show how likely a sound one fails with a crash: those closest in time to it, because crashes may
 * come in bursts that no content has caused.
 */
const MIN_OTHER_REQUESTS = 30;

/** Times before and after a crash in which other requests are looked for. Unit: ms. */
const WINDOWS_MS: readonly number[] = [100, 200, 400, 800, 1600, 3200, 6400, 12_800];

/**
 * Served requests that are assumed for a whole request that has never been served. Without them, a caller that sends
 * nothing else could crash all targets. Unlike a part of a prompt, it stands for no other request.
 */
const ASSUMED_SERVED = 10;

/** A crash of a target. */
export interface Crash {
  readonly service: string;
  /** Monotonic time. Unit: ms. */
  readonly at: number;
  /** Content keys of each request that failed with it, from the most general to the most specific. */
  readonly requests: readonly (readonly string[])[];
}

/** What is known of served requests. */
export interface ServingHistory {
  /** Returns the latest time at which content was served; undefined if that is not known. Unit: ms. */
  lastServedAt(key: string): number | undefined;
  /** Counts the requests of a service that were served between two times. */
  countServed(service: string, from: number, to: number): number;
  /** Checks whether content was found to crash targets before. */
  hasCrashedTargets(key: string): boolean;
}

/** Content that crashes targets, with the evidence. */
export interface Culprit {
  readonly key: string;
  /** Crashes since it was last served, oldest first. */
  readonly crashes: readonly Crash[];
  /** Probability that sound content would have failed with all of them. */
  readonly chance: number;
}

interface Suspect {
  readonly key: string;
  /** Position of the key in its request: of two keys in the same crashes, the more specific one is suspected. */
  specificity: number;
  /** Oldest first. */
  readonly crashes: Set<Crash>;
}

const listSuspects = (crashes: readonly Crash[], history: ServingHistory): Suspect[] => {
  const suspects = new Map<string, Suspect>();
  crashes.forEach((crash) =>
    crash.requests.forEach((keys) =>
      keys.forEach((key, position) => {
        if (crash.at <= (history.lastServedAt(key) ?? Number.NEGATIVE_INFINITY)) return;
        const suspect = suspects.get(key) ?? { key, specificity: position, crashes: new Set() };
        suspect.specificity = Math.max(suspect.specificity, position);
        suspect.crashes.add(crash);
        suspects.set(key, suspect);
      }),
    ),
  );
  return [...suspects.values()].sort(
    (a, b) =>
      b.crashes.size - a.crashes.size || b.specificity - a.specificity || (a.key < b.key ? -1 : 1),
  );
};

/** Outcomes of the other requests around a crash. */
interface Outcomes {
  readonly served: number;
  readonly failed: number;
}

const countOutcomes = (
  { key, crashes }: Suspect,
  { service, at }: Crash,
  windowMs: number,
  allCrashes: readonly Crash[],
  history: ServingHistory,
): Outcomes => {
  const isKnown = history.lastServedAt(key) !== undefined;
  const failed = allCrashes
    .filter((each) => each.service === service && Math.abs(each.at - at) <= windowMs)
    // The other requests in the crashes of new content failed because of it if it is the culprit. Content that was served
    // before may be part of many requests, so that it is in many crashes by chance.
    .filter((each) => isKnown || !crashes.has(each))
    .flatMap(({ requests }) => requests)
    .filter((keys) => !keys.includes(key)).length;
  // If all targets crash, content that is part of all requests is not served any more, and the requests that were served
  // before don't speak against it.
  const [firstCrash] = crashes;
  const from = Math.max(at - windowMs, isKnown ? firstCrash!.at : Number.NEGATIVE_INFINITY);
  const to = at + windowMs;
  const assumed = isRequestKey(key) && !isKnown ? ASSUMED_SERVED : 0;
  return { served: assumed + history.countServed(service, from, to), failed };
};

/** Estimates the probability that a sound request fails with a crash. */
const estimateFailureRate = (
  suspect: Suspect,
  crash: Crash,
  allCrashes: readonly Crash[],
  history: ServingHistory,
): number => {
  let outcomes: Outcomes = { served: 0, failed: 0 };
  WINDOWS_MS.some((windowMs) => {
    outcomes = countOutcomes(suspect, crash, windowMs, allCrashes, history);
    return outcomes.served + outcomes.failed >= MIN_OTHER_REQUESTS;
  });
  return (outcomes.failed + 1) / (outcomes.served + outcomes.failed + 1);
};

const collectEvidence = (
  suspect: Suspect,
  allCrashes: readonly Crash[],
  history: ServingHistory,
): Culprit => {
  const crashes = [...suspect.crashes];
  const chance = crashes
    .map((crash) => estimateFailureRate(suspect, crash, allCrashes, history))
    .reduce((product, rate) => product * rate, 1);
  return { key: suspect.key, crashes, chance };
};

const isCulprit = ({ key, chance }: Culprit, history: ServingHistory): boolean =>
  history.hasCrashedTargets(key) || chance <= MAX_CHANCE[isRequestKey(key) ? 'request' : 'part'];

/**
 * Finds the content that most likely caused crashes. Of content that fits, the one with the most crashes is chosen, and
 * of several in the same crashes the most specific one. The caller leaves out crashes that are already explained.
 *
 * @param crashes - crashes whose cause is not known, oldest first
 * @param history - what is known of served requests
 * @returns the content with its evidence; undefined while chance explains all crashes
 */
export const findCulprit = (
  crashes: readonly Crash[],
  history: ServingHistory,
): Culprit | undefined =>
  listSuspects(crashes, history)
    .filter(
      (suspect) => suspect.crashes.size >= MIN_CRASHES || history.hasCrashedTargets(suspect.key),
    )
    .map((suspect) => collectEvidence(suspect, crashes, history))
    .find((evidence) => isCulprit(evidence, history));
