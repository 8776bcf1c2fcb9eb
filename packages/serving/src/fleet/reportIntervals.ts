/** How often hosts report to each other. */
import type { Member } from './Members.js';

/** How long changes are collected before hosts of the same failure domain learn of them. Unit: ms. */
export const NEAR_COLLECT_MS = 30;

/**
 * Least time between reports to hosts of other failure domains, for each such host: what a host spends on
 * them does not grow with the fleet. Requests stay in their domain while it has free slots, and bytes
 * between domains are paid for. Unit: ms.
 */
const FAR_INTERVAL_PER_HOST_MS = 10;

/** Time of a report on its way and in the queues of both hosts. Unit: ms. */
const TRANSIT_MS = 15;

/**
 * Gives the least time between two reports to hosts of other failure domains.
 *
 * @param peers - the other hosts
 * @param failureDomain - failure domain of this host
 * @returns the interval. Unit: ms
 */
export const farIntervalMs = (peers: readonly Member[], failureDomain: string): number =>
  peers.filter((peer) => peer.failureDomain !== failureDomain).length * FAR_INTERVAL_PER_HOST_MS;

/**
 * Gives the time after which all hosts know of a change, if no report is lost.
 *
 * @param peers - the other hosts
 * @param failureDomain - failure domain of this host
 * @returns time from the change. Unit: ms
 */
export const spreadMs = (peers: readonly Member[], failureDomain: string): number =>
  NEAR_COLLECT_MS + farIntervalMs(peers, failureDomain) + TRANSIT_MS;
