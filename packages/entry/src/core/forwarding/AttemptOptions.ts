/** Options of one attempt. */
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';

/** Options of one attempt that are not part of the request. */
export interface AttemptOptions {
  /** Address of the agent in the inner network, as `ip:port`. */
  readonly address: string;
  /** Configuration version that the request was checked against. */
  readonly version: number;
  /** Rate share that was charged for the request; absent on open routes. */
  readonly permit?: { readonly shard: number; readonly generation: number };
  /** Whether the request is suspected of crashing targets; it then runs alone in its target. */
  readonly isSuspect: boolean;
  /** Aborted with {@link Abandoned} to abort the attempt. */
  readonly signal: AbortSignal;
  /** Called with the load report of each response. */
  readonly onLoadReport: (report: TargetLoadReport) => void;
}
