/** Identity of this process in the fleet. */

/** Identity of a host. */
export interface HostIdentity {
  /** Unique in the fleet. */
  readonly name: string;
  readonly failureDomain: string;
  /** Distinguishes this process from earlier ones of the host. Not ordered: a later process may have a lower value. */
  readonly incarnation: number;
  /** IP address at which other hosts reach it. */
  readonly address: string;
  /** UDP port for load reports of other hosts. */
  readonly port: number;
  /** Number of CPU cores available to the process; may be fractional. */
  readonly cores: number;
}
