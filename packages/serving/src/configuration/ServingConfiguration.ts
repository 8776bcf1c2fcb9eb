/** Configuration of a serving host. */

/** Kind of route. It determines which requests may be repeated. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming' | 'batch';

/** A service of a route, with its weight. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route for callers' requests. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header that the route matches. */
  readonly host: string;
  /** Path prefix, with a leading and a trailing slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Maximum number of targets that may run one request of a caller, or of responses with status 500 to one batch item. */
  readonly attempts: number;
  /** Maximum time from the arrival of an online request to the end of its response. Unit: ms. */
  readonly timeoutMs: number;
  /** Objective for the time to the first event of a response, or to the acceptance of a batch job. Unit: ms. */
  readonly objectiveMs: number;
  /** Objective for the longest pause between two events of a stream. Unit: ms. */
  readonly pauseObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly open: boolean;
  /** Whether another target may resume a stream after its last event. */
  readonly resumable: boolean;
  /** Time after the acceptance of a batch job at which all its results are due. Unit: ms. */
  readonly completionTargetMs: number;
  /** Time after the acceptance of a batch job from which its unfinished items are dead-lettered. Unit: ms. */
  readonly retentionMs: number;
  /** Maximum tokens of the batch items of an account that wait on the route; 0 is no limit. */
  readonly waitingTokens: number;
  /** Regions in which its requests and items may run; absent if any will do. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** A client account. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Maximum requests per second over all hosts; 0 is no limit. */
  readonly rate: number;
  readonly burst: number;
  readonly priority: number;
  /** Regions in which its requests and items may run; absent if any will do. */
  readonly allowedRegions?: readonly string[] | undefined;
}

/** Requests that a target tolerates after its start. */
export interface ColdLimit {
  /** Maximum requests per second over all hosts while it is cold. */
  readonly rate: number;
  /** Time for which it is cold after its start. Unit: ms. */
  readonly startMs: number;
}

/** A service that targets provide. */
export interface Service {
  readonly name: string;
  /** Number of requests that one target runs concurrently. */
  readonly slots: number;
  /** Absent if its targets tolerate any rate after their start. */
  readonly coldLimit?: ColdLimit | undefined;
}

/** Limits for callers' requests. */
export interface CallerLimits {
  readonly headerBytes: number;
  readonly bodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** One version of the configuration. */
export interface ServingConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly accounts: readonly Account[];
  readonly services: readonly Service[];
  readonly limits: CallerLimits;
}

/** Why a configuration can't be read. */
export interface ConfigurationFault {
  /** Names and indexes that lead to the invalid field, separated by dots; empty for the whole configuration. */
  readonly path: string;
  readonly reason: string;
}
