/** Headers of the data path between entry hosts and agents. */

/** Header names by key; each comment describes the value. */
export const innerHeaders = {
  /** Fleet credential. */
  fleet: 'jacinthlug-fleet',
  /** Request id, echoed on the response. */
  request: 'jacinthlug-request',
  /** Client account; absent on open routes. */
  account: 'jacinthlug-account',
  /** Key id, never the key; absent on open routes. */
  key: 'jacinthlug-key',
  /** Name of the service that runs the request. */
  service: 'jacinthlug-service',
  /** Name of the route; `openai` for the OpenAI-compatible paths. */
  route: 'jacinthlug-route',
  /** `true` when the request is idempotent, so that it may run more than once. */
  repeatable: 'jacinthlug-repeatable',
  /** Configuration version of the sender. */
  version: 'jacinthlug-version',
  /** Generation of the rate share that the request is counted against. */
  generation: 'jacinthlug-generation',
  /** Shard of the client account, 0 to 31. */
  shard: 'jacinthlug-shard',
  /** Time until the deadline of the request. Unit: ms. */
  remainingMs: 'jacinthlug-remaining-ms',
  /** Maximum time that the request may wait for the target. Unit: ms. */
  waitLimitMs: 'jacinthlug-wait-limit-ms',
  /** Hash of account, path and body. */
  fingerprint: 'jacinthlug-fingerprint',
  /** `true` when the request was running when a target crashed; it must run alone. */
  suspect: 'jacinthlug-suspect',
  /** Method of the caller's request. */
  method: 'jacinthlug-method',
  /** Path and query of the caller's request, without credentials. */
  path: 'jacinthlug-path',
  /** Load report on every response, as JSON. */
  load: 'jacinthlug-load',
  /** Numeric result code, on refusals by the agent. */
  result: 'jacinthlug-result',
} as const;

/** URL path on an agent that runs requests. */
export const RUN_PATH = '/inner/run';

/** URL path prefix of the control procedures. */
export const CONTROL_PATH = '/inner/trpc';
