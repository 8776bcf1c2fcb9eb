/** Orders the online requests that wait for a target. */

/** What the place of a request in the queue depends on. */
export interface WaitingPosition {
  /** Requests that have been at a target, or continue a stream, precede new ones. */
  readonly isNew: boolean;
  /** Priorities of the account and of the route; 0 is the most urgent. */
  readonly accountPriority: number;
  readonly routePriority: number;
  /** Ratio of the account's use to its fair share; 1 for an account within its share. */
  readonly shareRatio: number;
  /** Monotonic time at which the response must begin. Unit: ms. */
  readonly responseDeadline: number;
  /** Order of arrival. */
  readonly sequence: number;
}

/**
 * Compares two waiting requests. An account above its fair share waits behind all accounts of its priority that are
 * within theirs, so its requests are also the first to be refused.
 *
 * @param a - position of one request
 * @param b - position of the other request
 * @returns negative if the first one gets a target before the other one
 */
export const compareWaiting = (a: WaitingPosition, b: WaitingPosition): number =>
  Number(a.isNew) - Number(b.isNew) ||
  a.accountPriority - b.accountPriority ||
  a.routePriority - b.routePriority ||
  a.shareRatio - b.shareRatio ||
  a.responseDeadline - b.responseDeadline ||
  a.sequence - b.sequence;
