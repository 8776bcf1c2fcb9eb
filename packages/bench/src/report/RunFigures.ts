/** Figures of one run, as the report stores them. */
import type { Ending } from '../load/sendChat.js';
import type { MetricName } from './metrics.js';

/** Figures of one account in one run. */
export interface AccountFigures {
  readonly account: string;
  readonly weight: number;
  readonly sent: number;
  /** Number of requests within the account's rate. */
  readonly withinRate: number;
  readonly endings: Readonly<Record<Ending, number>>;
  /** Output tokens of the requests within the account's rate. */
  readonly demand: number;
  /** Fair share of the tokens served. */
  readonly due: number;
  /** Output tokens that the account received. */
  readonly served: number;
  /** Absent when no request received a token. Unit: ms. */
  readonly firstTokenP99?: number;
}

/** Figures of one run. */
export interface RunFigures {
  /** Metrics by name; a metric without samples is absent. */
  readonly metrics: Readonly<Partial<Record<MetricName, number>>>;
  /** Numbers of refusals, truncated streams and missing responses, by ending and result code. */
  readonly codes: Readonly<Record<string, number>>;
  readonly accounts: readonly AccountFigures[];
}
