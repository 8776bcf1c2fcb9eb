/** Chooses the target of a request from what is known of loads, health and distance. */
import type { Target } from '../fleet/Target.js';
import type { TargetLoad } from './LoadTable.js';

/**
 * Online requests that may wait at a target beyond its slots. A chat holds a slot for some 750 ms, so
 * one of eight slots comes free every 95 ms, and two waiting requests still meet an objective of 300 ms.
 */
const MAX_QUEUED_AT_TARGET = 2;

/** A target with what is known of it. */
export interface Candidate {
  readonly target: Target;
  readonly load: TargetLoad;
  /** Whether this host may send it new work. */
  readonly usable: boolean;
  /** Other hosts that get no answer from it. */
  readonly silentFor: number;
}

/** What is known of the request and of this host. */
export interface OnlineCriteria {
  readonly candidates: readonly Candidate[];
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Identities of targets that failed the request before. */
  readonly excluded: ReadonlySet<string>;
  /** Draws among targets, so that hosts do not all choose the same one; between 0 and 1. */
  readonly random: () => number;
}

/** Outcome of a choice. */
export type TargetChoice =
  | { readonly kind: 'target'; readonly target: Target }
  /** Every target is full with online requests. */
  | { readonly kind: 'full' }
  /** There is no target to send to. */
  | { readonly kind: 'none' };

/** Classes of targets in the order in which they are tried. */
const RANKS = {
  free: 0,
  freeAfterPreemption: 1,
  shortQueue: 2,
  full: 3,
} as const;

const rankOf = ({ target, load }: Candidate): number => {
  if (load.online + load.batch < target.slots) return RANKS.free;
  if (load.online < target.slots) return RANKS.freeAfterPreemption;
  return load.online < target.slots + MAX_QUEUED_AT_TARGET ? RANKS.shortQueue : RANKS.full;
};

/** Requests that a target can still take in its class, by rank. */
const capacityByRank: Readonly<Record<number, (candidate: Candidate) => number>> = {
  [RANKS.free]: ({ target, load }) => target.slots - load.online - load.batch,
  [RANKS.freeAfterPreemption]: ({ target, load }) => target.slots - load.online,
  [RANKS.shortQueue]: ({ target, load }) => target.slots + MAX_QUEUED_AT_TARGET - load.online,
};

/** Draws one of the candidates, each as often as it has room. */
const drawByCapacity = (
  candidates: readonly Candidate[],
  roomOf: (candidate: Candidate) => number,
  random: () => number,
): Candidate => {
  const total = candidates.reduce((sum, candidate) => sum + roomOf(candidate), 0);
  let draw = random() * total;
  const drawn = candidates.find((candidate) => {
    draw -= roomOf(candidate);
    return draw < 0;
  });
  return drawn ?? candidates[0]!;
};

/** Two hosts that get no answer outweigh this host's own view, which may be older. */
const isReportedUnresponsive = ({ silentFor }: Candidate): boolean => silentFor >= 2;

/**
 * Chooses the target of an online request. Loads are some 100 ms old, in which a domain of twenty hosts places a dozen
 * requests: if all went to the target with the most room, they would queue there while others stand empty.
 *
 * @param choice - candidates and what is known of the request
 * @returns a target, or why there is none
 */
export const chooseTarget = ({
  candidates,
  failureDomain,
  excluded,
  random,
}: OnlineCriteria): TargetChoice => {
  const possible = candidates.filter(({ target }) => !excluded.has(target.id));
  if (possible.length === 0) return { kind: 'none' };
  const usable = possible.filter(
    (candidate) => candidate.usable && !isReportedUnresponsive(candidate),
  );
  // When every target looks sick, this host's view is as likely at fault as all of them.
  const eligible = usable.length > 0 ? usable : possible;
  const best = Math.min(...eligible.map(rankOf));
  const roomOf = capacityByRank[best];
  if (!roomOf) return { kind: 'full' };
  const equal = eligible.filter((candidate) => rankOf(candidate) === best);
  const near = equal.filter(({ target }) => target.failureDomain === failureDomain);
  const { target } = drawByCapacity(near.length > 0 ? near : equal, roomOf, random);
  return { kind: 'target', target };
};

/** What is known for placing a batch item. */
export interface BatchCriteria {
  readonly candidates: readonly Candidate[];
  readonly failureDomain: string;
  /** Slots of a target that this host may take now. */
  readonly allowanceOf: (candidate: Candidate) => number;
  readonly random: () => number;
}

/**
 * Chooses the target of a batch item: the emptiest one where this host may take a slot.
 *
 * @param choice - candidates and what is known of this host
 * @returns the target, or nothing when no slot is to spare
 */
export const chooseBatchTarget = ({
  candidates,
  failureDomain,
  allowanceOf,
  random,
}: BatchCriteria): Target | undefined => {
  const fitting = candidates
    .filter((candidate) => candidate.usable && !isReportedUnresponsive(candidate))
    .filter((candidate) => allowanceOf(candidate) > 0)
    .map(({ target, load }) => ({
      target,
      free: target.slots - load.online - load.batch,
      distance: target.failureDomain === failureDomain ? 0 : 1,
      draw: random(),
    }));
  fitting.sort((a, b) => b.free - a.free || a.distance - b.distance || a.draw - b.draw);
  return fitting[0]?.target;
};

/** What this host must cancel on one target. */
export interface TargetOccupancy {
  /** Slots of the target. */
  readonly slots: number;
  readonly load: TargetLoad;
  /** Hosts with batch items there, in an order that is the same on every host. */
  readonly holders: readonly { readonly host: string; readonly batch: number }[];
  readonly ownName: string;
}

/**
 * Lists the hosts that must make room on a target. They are told at once rather than with the next report, as an
 * online request waits there meanwhile.
 *
 * @param excess - load and holders, with this host's newest request
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
 * Shares out batch items that must leave a target so that online requests find a slot.
 *
 * @param excess - load and holders
 * @returns number of batch items that this host cancels
 */
export const countItemsToCancel = ({ slots, load, holders, ownName }: TargetOccupancy): number => {
  const excess = Math.min(load.batch, Math.max(0, load.online + load.batch - slots));
  // One item of each holder in turn, so that no single host stops all its items.
  const turns = holders
    .flatMap(({ host, batch }) => Array.from({ length: batch }, (_, turn) => ({ host, turn })))
    .sort((a, b) => a.turn - b.turn);
  return turns.slice(0, excess).filter(({ host }) => host === ownName).length;
};
