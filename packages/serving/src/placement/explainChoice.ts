/** Explains a choice of targets to operators. */
import type { Target } from '../fleet/Target.js';
import type { Candidate } from '../routing/chooseTarget.js';

/** Number of draws from which the shares of targets are taken. */
const DRAWS = 500;

/** Why a target gets no new request or item. */
export type LeftOut =
  | 'draining'
  | 'evacuated'
  | 'region-not-allowed'
  | 'other-version'
  /** This host has used up its share of the requests to the cold target, or has none. */
  | 'cold-limit-reached'
  /** The target is cold, and a warm one has room. */
  | 'cold'
  | 'unhealthy'
  | 'full'
  /** Its free slots are those of other hosts, or reserved for online requests. */
  | 'slots-not-assigned'
  /** Others have more room or are nearer. */
  | 'others-preferred';

/** What is known of a target, and how often it would be chosen. */
export interface TargetExplanation {
  readonly target: string;
  readonly failureDomain: string;
  readonly version: string;
  /** Share of choices that fall on the target. */
  readonly share: number;
  /** Why no choice falls on the target; absent if some do. */
  readonly leftOut?: LeftOut;
  /** Whether its health allows new work. */
  readonly usable: boolean;
  readonly slots: number;
  readonly online: number;
  readonly batch: number;
  /** Time per event as a multiple of the mean of its service; absent unless times are predicted. */
  readonly pace?: number;
  /** Predicted wait for a slot. Unit: ms. */
  readonly waitMs?: number;
  /** Predicted time to the first event. Unit: ms. */
  readonly firstMs?: number;
}

const round = (value: number): number => Math.round(value * 100) / 100;

/**
 * Explains a choice by repeating it.
 *
 * @param candidates - the targets
 * @param choose - chooses a target; undefined if there is none
 * @param findLeftOut - finds why a target was never chosen
 * @returns the targets, the most likely one first
 */
export const explainChoice = (
  candidates: readonly Candidate[],
  choose: () => Target | undefined,
  findLeftOut: (candidate: Candidate) => LeftOut,
): TargetExplanation[] => {
  const counts = new Map<string, number>();
  for (let draw = 0; draw < DRAWS; draw += 1) {
    const id = choose()?.id;
    if (id !== undefined) counts.set(id, (counts.get(id) ?? 0) + 1);
  }
  return candidates
    .map((candidate) => {
      const { target, load, usable, pace, forecast } = candidate;
      const count = counts.get(target.id) ?? 0;
      return {
        target: target.id,
        failureDomain: target.failureDomain,
        version: target.version,
        share: count / DRAWS,
        ...(count === 0 && { leftOut: findLeftOut(candidate) }),
        usable,
        slots: target.slots,
        online: load.online,
        batch: load.batch,
        ...(forecast && {
          pace: round(pace ?? 1),
          waitMs: round(forecast.waitMs),
          firstMs: round(forecast.firstMs),
        }),
      };
    })
    .sort((a, b) => b.share - a.share);
};
