/** The tree along which the configuration spreads within a failure domain (design 5.1). */
import { rendezvousOrder } from '../peers/rendezvous.js';

/** Number of processes of a failure domain that read the table. */
export const WATCHERS_PER_DOMAIN = 2;

/** Number of processes that follow each process. */
export const FAN_OUT = 8;

/**
 * Orders the processes of a failure domain by rank.
 *
 * @param failureDomain - name of the domain
 * @param names - names of its live processes
 * @returns the names by rank
 */
export const rankNames = (failureDomain: string, names: readonly string[]): string[] =>
  rendezvousOrder(`configuration ${failureDomain}`, [...new Set(names)]);

/**
 * Returns the rank of the process that a process follows.
 *
 * @param rank - rank of the process
 * @returns rank of the parent; `undefined` for a watcher
 */
export const parentRank = (rank: number): number | undefined =>
  rank < WATCHERS_PER_DOMAIN ? undefined : Math.floor((rank - WATCHERS_PER_DOMAIN) / FAN_OUT);
