/** Who this process is in the fleet. */

/** Identity of a host. */
export interface HostIdentity {
  /** Name of the host; unique in the fleet. */
  readonly name: string;
  readonly failureDomain: string;
  /** Start of this process. Unit: ms since 1970. */
  readonly incarnation: number;
  /** IP number at which other hosts reach it. */
  readonly address: string;
  /** Port for datagrams of other hosts. */
  readonly port: number;
}
