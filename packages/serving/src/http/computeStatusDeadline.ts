/** Calculates when a status must be sent at the latest. */

/** Time for the request and the status on the network: the caller's wait begins before the request arrives. Unit: ms. */
const NETWORK_MARGIN_MS = 100;

/** Maximum ratio of that time to the caller's wait. */
const MAX_MARGIN_RATIO = 0.1;

/**
 * Returns the time by which a status must be sent, so that its caller receives it.
 *
 * @param arrivedAt - monotonic time of the request's arrival. Unit: ms
 * @param waitMs - how long the caller waits. Unit: ms
 * @returns monotonic time. Unit: ms
 */
export const computeStatusDeadline = (arrivedAt: number, waitMs: number): number =>
  arrivedAt + waitMs - Math.min(NETWORK_MARGIN_MS, Math.max(0, waitMs) * MAX_MARGIN_RATIO);
