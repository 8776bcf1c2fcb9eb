/** Headers of the data path between entry hosts and agents. */

/** Header names; values are documented beside each. */
export const innerHeaders = {
  /** Fleet credential. */
  fleet: 'jacinthlug-fleet',
  /** Request id, echoed on the answer. */
  request: 'jacinthlug-request',
  /** Client account; absent on open routes. */
  account: 'jacinthlug-account',
  /** Key id, never the key; absent on open routes. */
  key: 'jacinthlug-key',
  /** Name of the service that is to run the request. */
  service: 'jacinthlug-service',
  /** Name of the route; `openai` for the OpenAI-compatible paths. */
  route: 'jacinthlug-route',
  /** `true` when the request may run twice without harm. */
  repeatable: 'jacinthlug-repeatable',
  /** Configuration version of the sender. */
  version: 'jacinthlug-version',
  /** Generation of the rate share that the request was counted against. */
  generation: 'jacinthlug-generation',
  /** Shard of the client account, 0 to 31. */
  shard: 'jacinthlug-shard',
  /** Time left until the deadline of the request. Unit: ms. */
  remainingMs: 'jacinthlug-remaining-ms',
  /** Time that the request may wait for the target. Unit: ms. */
  waitLimitMs: 'jacinthlug-wait-limit-ms',
  /** Fingerprint of account, path and body. */
  fingerprint: 'jacinthlug-fingerprint',
  /** `true` when the request was running when a target crashed; it must run alone. */
  suspect: 'jacinthlug-suspect',
  /** Method of the caller's request. */
  method: 'jacinthlug-method',
  /** Path and query of the caller's request, without credentials. */
  path: 'jacinthlug-path',
  /** Load report on every answer, as JSON. */
  load: 'jacinthlug-load',
  /** Result code number on refusals by the agent. */
  result: 'jacinthlug-result',
} as const;

/** Path of the data path on an agent. */
export const RUN_PATH = '/inner/run';

/** Path under which the control procedures are served. */
export const CONTROL_PATH = '/inner/trpc';
