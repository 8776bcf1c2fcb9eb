/** The tree by which the configuration spreads inside a failure domain (design 5.1). */
import { rendezvousOrder } from '../peers/rendezvous.js';

/** Processes of a failure domain that read the table. */
export const WATCHERS_PER_DOMAIN = 2;

/** Followers of each process. */
export const FAN_OUT = 8;

/**
 * Orders the processes of a failure domain.
 *
 * @param failureDomain - name of the domain
 * @param names - names of its live processes
 * @returns the names by rank
 */
export const rankNames = (failureDomain: string, names: readonly string[]): string[] =>
  rendezvousOrder(`configuration ${failureDomain}`, [...new Set(names)]);

/**
 * Gives the rank that a process follows.
 *
 * @param rank - rank of the process
 * @returns rank of its parent; nothing for a watcher
 */
export const parentRank = (rank: number): number | undefined =>
  rank < WATCHERS_PER_DOMAIN ? undefined : Math.floor((rank - WATCHERS_PER_DOMAIN) / FAN_OUT);
