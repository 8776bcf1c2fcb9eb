/** Terms of one attempt. */
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';

/** What an attempt needs besides the request. */
export interface AttemptOptions {
  /** Inner address of the agent, as `ip:port`. */
  readonly address: string;
  /** Configuration version that the request was checked against. */
  readonly version: number;
  /** Rate share that the request was counted against; absent on open routes. */
  readonly permit?: { readonly shard: number; readonly generation: number };
  /** Whether the request must run alone in the target. */
  readonly isSuspect: boolean;
  /** Aborted with {@link Abandoned} when the attempt is given up. */
  readonly signal: AbortSignal;
  /** Gets the load report of each answer. */
  readonly onLoadReport: (report: TargetLoadReport) => void;
}
