/** A target as its own registration describes it. */

/** One incarnation of a target. */
export interface Target {
  /** Identity of the target; a start may have the identity of an earlier one. */
  readonly id: string;
  /** Distinguishes incarnations under one identity. Unit: ms since 1970. */
  readonly bornAt: number;
  readonly service: string;
  /** IP number and port; may belong to another target later. */
  readonly address: string;
  readonly failureDomain: string;
  /** Requests that it runs at once. */
  readonly slots: number;
  /** Whether it takes new work. */
  readonly state: 'ready' | 'draining';
}
