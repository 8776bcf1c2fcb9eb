/** A target as described by its registration. */

/** One incarnation of a target. */
export interface Target {
  /** Id of the target; a restarted target may reuse it. */
  readonly id: string;
  /** Start time; distinguishes incarnations with the same id. Unit: ms since 1970. */
  readonly bornAt: number;
  readonly service: string;
  /** Version of the target's software. A stream can only be continued by a target of the same version. */
  readonly version: string;
  /** IP address and port; may be reused by another target later. */
  readonly address: string;
  readonly failureDomain: string;
  /** Maximum number of concurrent requests. */
  readonly slots: number;
  /** Only a `ready` target accepts new requests. */
  readonly state: 'ready' | 'draining';
  /** Monotonic time until which it is cold, according to its registration. Unit: ms. */
  readonly coldUntil?: number | undefined;
}

/**
 * Identifies one run of a target's process.
 *
 * @param target - the target
 * @returns its id and the time of its start
 */
export const getIncarnation = ({ id, bornAt }: Pick<Target, 'id' | 'bornAt'>): string =>
  `${id}/${bornAt}`;
