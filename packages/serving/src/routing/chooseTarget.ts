/** Chooses the target of a request from what is known of loads, health and distance. */
import type { Target } from '../fleet/Target.js';
import type { TargetLoad } from './LoadBook.js';

/**
 * Online requests that may wait at a target beyond its slots. A chat holds a slot for some 750 ms, so
 * one of eight slots comes free every 95 ms, and two waiting requests still meet an objective of 300 ms.
 */
const WAITING_AT_TARGET = 2;

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
export interface Choice {
  readonly candidates: readonly Candidate[];
  /** Failure domain of this host. */
  readonly failureDomain: string;
  /** Identities of targets that failed the request before. */
  readonly excluded: ReadonlySet<string>;
  /** Breaks ties, so that hosts do not all choose the same target; between 0 and 1. */
  readonly random: () => number;
}

/** Outcome of a choice. */
export type Chosen =
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
  return load.online < target.slots + WAITING_AT_TARGET ? RANKS.shortQueue : RANKS.full;
};

/** Two hosts that get no answer outweigh this host's own view, which may be older. */
const isSuspect = ({ silentFor }: Candidate): boolean => silentFor >= 2;

/**
 * Chooses the target of an online request.
 *
 * @param choice - candidates and what is known of the request
 * @returns a target, or why there is none
 */
export const chooseTarget = ({ candidates, failureDomain, excluded, random }: Choice): Chosen => {
  const possible = candidates.filter(({ target }) => !excluded.has(target.id));
  if (possible.length === 0) return { kind: 'none' };
  const usable = possible.filter((candidate) => candidate.usable && !isSuspect(candidate));
  // When every target looks sick, this host's view is as likely at fault as all of them.
  const eligible = usable.length > 0 ? usable : possible;
  const scored = eligible.map((candidate) => ({
    target: candidate.target,
    rank: rankOf(candidate),
    fill: candidate.load.online + 0.5 * candidate.load.batch,
    distance: candidate.target.failureDomain === failureDomain ? 0 : 1,
    draw: random(),
  }));
  scored.sort(
    (a, b) => a.rank - b.rank || a.distance - b.distance || a.fill - b.fill || a.draw - b.draw,
  );
  const best = scored[0]!;
  return best.rank === RANKS.full ? { kind: 'full' } : { kind: 'target', target: best.target };
};

/** What is known for placing a batch item. */
export interface BatchChoice {
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
}: BatchChoice): Target | undefined => {
  const fitting = candidates
    .filter((candidate) => candidate.usable && !isSuspect(candidate))
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
export interface Excess {
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
export const findHoldersToTell = ({ slots, load, holders, ownName }: Excess): string[] =>
  load.online + load.batch <= slots
    ? []
    : holders.map(({ host }) => host).filter((host) => host !== ownName);

/**
 * Shares out batch items that must leave a target so that online requests find a slot.
 *
 * @param excess - load and holders
 * @returns number of batch items that this host cancels
 */
export const shareOfExcess = ({ slots, load, holders, ownName }: Excess): number => {
  const excess = Math.min(load.batch, Math.max(0, load.online + load.batch - slots));
  // One item of each holder in turn, so that no single host stops all its items.
  const turns = holders
    .flatMap(({ host, batch }) => Array.from({ length: batch }, (_, turn) => ({ host, turn })))
    .sort((a, b) => a.turn - b.turn);
  return turns.slice(0, excess).filter(({ host }) => host === ownName).length;
};
