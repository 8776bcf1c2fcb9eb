/** The configuration that a serving host follows. */

/** What may be repeated, by kind of route. */
export type RouteKind = 'idempotent' | 'non-idempotent' | 'streaming' | 'batch';

/** A service that a route may use. */
export interface WeightedService {
  readonly service: string;
  readonly weight: number;
}

/** A route of the callers' interface. */
export interface Route {
  readonly name: string;
  /** Value of the `Host` header that the route belongs to. */
  readonly host: string;
  /** Start of the path, with a slash at both ends. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly services: readonly WeightedService[];
  /** Most targets that may run one attempt of a caller. */
  readonly attempts: number;
  /** Longest time that a request may be kept waiting. Unit: ms. */
  readonly timeoutMs: number;
  /** Time to the first event within which an answer is on time. Unit: ms. */
  readonly objectiveMs: number;
  /** Longest pause between events of a stream within which an answer is on time. Unit: ms. */
  readonly pauseObjectiveMs: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no key. */
  readonly open: boolean;
  /** Whether a stream may go on at another target after its last event. */
  readonly resumable: boolean;
  /** Batch jobs: time after which all results are due. Unit: ms. */
  readonly completionTargetMs: number;
  /** Batch jobs: time after which an item may be given up. Unit: ms. */
  readonly retentionMs: number;
  /** Batch jobs: most tokens that an account may have waiting; 0 is no limit. */
  readonly waitingTokens: number;
}

/** A client account. */
export interface Account {
  readonly name: string;
  readonly keys: readonly string[];
  /** Requests per second over all hosts; 0 is no limit. */
  readonly rate: number;
  readonly burst: number;
  readonly priority: number;
}

/** A service of targets. */
export interface Service {
  readonly name: string;
  /** Requests that one target runs at once. */
  readonly slots: number;
}

/** Limits on what callers send. */
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
