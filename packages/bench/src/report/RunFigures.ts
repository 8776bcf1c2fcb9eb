/** Figures of one run. */
import type { Ending } from '../load/sendChat.js';
import type { MetricName } from './metrics.js';

/** Figures of one account in one run. */
export interface AccountFigures {
  readonly account: string;
  readonly weight: number;
  readonly sent: number;
  readonly withinRate: number;
  readonly endings: Readonly<Record<Ending, number>>;
  /** Output tokens asked for within the account's rate. */
  readonly demand: number;
  readonly due: number;
  readonly served: number;
  /** Unit: ms; absent when no request got a token. */
  readonly firstTokenP99?: number;
}

/** Figures of one run. */
export interface RunFigures {
  /** A metric without any sample is absent. */
  readonly metrics: Readonly<Partial<Record<MetricName, number>>>;
  /** Refusals, cuts and missing answers by result code. */
  readonly codes: Readonly<Record<string, number>>;
  readonly accounts: readonly AccountFigures[];
}
