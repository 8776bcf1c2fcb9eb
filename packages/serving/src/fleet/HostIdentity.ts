/** Who this process is in the fleet. */

/** Identity of a host. */
export interface HostIdentity {
  /** Name of the host; unique in the fleet. */
  readonly name: string;
  readonly failureDomain: string;
  /** Tells this process from earlier ones of the host; its order says nothing. */
  readonly incarnation: number;
  /** IP number at which other hosts reach it. */
  readonly address: string;
  /** Port for datagrams of other hosts. */
  readonly port: number;
  /** Processors that the process may use; parts of one count. */
  readonly cores: number;
}
