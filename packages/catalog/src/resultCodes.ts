/**
 * Catalogue of the result codes that callers, operators and peers receive. `docs/result-codes.md` is
 * generated from it. Numbers are never reused.
 */

/** Whether a refused request ran: it certainly did not, or the outcome is unknown. */
export type RunState = 'not run' | 'outcome unknown';

/** Result code of the catalogue. */
export interface ResultCode {
  readonly number: number;
  readonly title: string;
  readonly message: string;
  readonly hint: string;
  /** HTTP status of the refusal. */
  readonly status: number;
  readonly run: RunState;
  /** Time after which the caller may retry; absent where a retry does not help. Unit: seconds. */
  readonly retryAfterSeconds?: number;
}

/** Declares the catalogue and keeps its names for {@link ResultName}. */
const defineCodes = <Name extends string>(
  codes: Record<Name, ResultCode>,
): Readonly<Record<Name, ResultCode>> => codes;

export const resultCodes = defineCodes({
  // 1000: invalid requests.
  'route-unknown': {
    number: 1001,
    title: 'No such route',
    message: 'No route is declared for this method and path.',
    hint: 'Ask the operator which paths are declared.',
    status: 404,
    run: 'not run',
  },
  'key-missing': {
    number: 1002,
    title: 'Key missing',
    message: 'The request carries no key and the route is not open.',
    hint: 'Send the key as "Authorization: Bearer <key>".',
    status: 401,
    run: 'not run',
  },
  'key-unknown': {
    number: 1003,
    title: 'Key not valid',
    message: 'The key is unknown or was withdrawn.',
    hint: 'Ask the operator for a new key.',
    status: 401,
    run: 'not run',
  },
  'body-too-large': {
    number: 1004,
    title: 'Body too large',
    message: 'The request body is larger than the route allows.',
    hint: 'Send a smaller body, or ask the operator to raise maxBodyBytes.',
    status: 413,
    run: 'not run',
  },
  'body-invalid': {
    number: 1005,
    title: 'Body not valid',
    message: 'The request body is not valid for this path.',
    hint: 'See the detail for the field or line at fault.',
    status: 400,
    run: 'not run',
  },
  'key-in-body': {
    number: 1006,
    title: 'Key in the body',
    message: 'The request body contains the key, which no target may see.',
    hint: 'Send the key in the Authorization header only.',
    status: 400,
    run: 'not run',
  },
  'model-unknown': {
    number: 1007,
    title: 'No such model',
    message: 'No service of this fleet serves the model.',
    hint: 'List the models with GET /v1/models.',
    status: 404,
    run: 'not run',
  },
  'account-mismatch': {
    number: 1008,
    title: 'Another client account',
    message: 'The request names a client account that is not the account of its key.',
    hint: 'Use a key of that account.',
    status: 403,
    run: 'not run',
  },
  'not-found': {
    number: 1009,
    title: 'Not found',
    message: 'This client account has no such object.',
    hint: 'Check the identifier.',
    status: 404,
    run: 'not run',
  },
  'batch-invalid': {
    number: 1010,
    title: 'Batch input not valid',
    message: 'Lines of the batch input are malformed.',
    hint: 'Correct the lines named in the detail and submit the file again.',
    status: 400,
    run: 'not run',
  },
  // 1100: limits.
  'rate-exceeded': {
    number: 1101,
    title: 'Rate exceeded',
    message: 'The client account has used its rate and burst.',
    hint: 'Retry after the time given.',
    status: 429,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'rate-unavailable': {
    number: 1102,
    title: 'Rate share unavailable',
    message: 'This host could not get a share of the rate of the client account.',
    hint: 'Retry after the time given; another host may have a share.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  overloaded: {
    number: 1103,
    title: 'Overloaded',
    message: 'The wait for a target would exceed the wait limit of the request.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'share-exceeded': {
    number: 1105,
    title: 'Share exceeded',
    message: 'The client account uses more than its fair share while there is no room for all.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'job-over-limit': {
    number: 1104,
    title: 'Too many tokens waiting',
    message:
      'The batch job would exceed the limit of waiting tokens of the client account on the route.',
    hint: 'Retry when earlier jobs have completed.',
    status: 429,
    run: 'not run',
    retryAfterSeconds: 2,
  },
  'bodies-over-memory': {
    number: 1106,
    title: 'No memory for the body',
    message: 'The host has no memory for the body beside those of other requests.',
    hint: 'Retry after the time given; another host may have memory.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  // 1200: targets.
  'no-permitted-target': {
    number: 1210,
    title: 'No permitted target',
    message:
      'Every target of the service is in an evacuated failure domain, or outside the regions where the request may run.',
    hint: 'Retry after the time given. Ask the operator whether failure domains are evacuated.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'no-target': {
    number: 1201,
    title: 'No target',
    message: 'No target of the service is reachable.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 2,
  },
  'target-failed': {
    number: 1202,
    title: 'Target failed',
    message: 'The target failed while it had the request.',
    hint: 'The request may have run. Repeat it only if that does no harm.',
    status: 502,
    run: 'outcome unknown',
    retryAfterSeconds: 1,
  },
  'target-crashed': {
    number: 1203,
    title: 'Target crashed',
    message: 'The target crashed while it had the request.',
    hint: 'The request may have run. Repeat it only if that does no harm.',
    status: 502,
    run: 'outcome unknown',
    retryAfterSeconds: 1,
  },
  'request-crashed-targets': {
    number: 1204,
    title: 'Request crashes targets',
    message: 'Targets crashed each time they ran this request; it is not accepted again for now.',
    hint: 'Change the request. The block ends one hour after the last crash.',
    status: 422,
    run: 'not run',
  },
  'request-breaks-targets': {
    number: 1208,
    title: 'Request breaks targets',
    message:
      'Targets crashed each time they ran this request, or requests with the same part of the prompt; it is not run for now.',
    hint: 'Change the request, or retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 60,
  },
  'stream-version-unknown': {
    number: 1209,
    title: 'Stream version unknown',
    message:
      'Targets of several software versions serve, and it is not known which version began the stream.',
    hint: 'Retry after the time given, or send the request again from the start.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 0.5,
  },
  'deadline-passed': {
    number: 1205,
    title: 'Deadline passed',
    message: 'The deadline of the request passed before the response was complete.',
    hint: 'The request may have run. Repeat it only if that does no harm.',
    status: 504,
    run: 'outcome unknown',
    retryAfterSeconds: 1,
  },
  'deadline-passed-in-queue': {
    number: 1206,
    title: 'Deadline passed while waiting',
    message: 'The deadline of the request passed before a target accepted it.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'target-leaving': {
    number: 1207,
    title: 'Target leaving',
    message: 'The target takes no new work.',
    hint: 'Another target takes the request.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  // 1300: requests that must not run twice.
  'claims-unavailable': {
    number: 1301,
    title: 'Claims unavailable',
    message: 'The claim that keeps this request from running twice could not be written.',
    hint: 'Retry after the time given. This attempt was not run; an earlier attempt with the same identity may have been.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 2,
  },
  'outcome-unknown': {
    number: 1302,
    title: 'Outcome unknown',
    message: 'A request with this identity was started before and its outcome is not recorded.',
    hint: 'Retry later with the same identity, or check with the service. The request is not run again.',
    status: 409,
    run: 'outcome unknown',
    retryAfterSeconds: 5,
  },
  'identity-reused': {
    number: 1303,
    title: 'Identity used for another request',
    message: 'A different request with this identity was accepted before.',
    hint: 'Use a new identity for a new request.',
    status: 422,
    run: 'not run',
  },
  // 1400: state of the host.
  'configuration-unconfirmed': {
    number: 1401,
    title: 'Configuration not confirmed',
    message: 'This host cannot tell whether its configuration is still in force.',
    hint: 'Retry after the time given; another host may serve the request now.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  stopping: {
    number: 1402,
    title: 'Host stopping',
    message: 'This host is stopping and takes no new work.',
    hint: 'Send the request again; another host takes it.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'platform-unavailable': {
    number: 1403,
    title: 'Platform unavailable',
    message: 'The table service or the object store does not answer.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 5,
  },
  'fleet-credential-wrong': {
    number: 1404,
    title: 'Not a peer',
    message: 'The call lacks the fleet credential.',
    hint: 'Check fleetCredential in the settings of both processes.',
    status: 403,
    run: 'not run',
  },
  'rate-generation-old': {
    number: 1405,
    title: 'Old rate share',
    message: 'The rate share that the request was counted against is no longer in force.',
    hint: 'Retry after the time given.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 1,
  },
  'stopped-in-progress': {
    number: 1406,
    title: 'Host stopped',
    message: 'This host has stopped before the outcome of the request was known.',
    hint: 'The request may have run. Repeat it only if that does no harm.',
    status: 504,
    run: 'outcome unknown',
    retryAfterSeconds: 0.1,
  },
  'internal-fault': {
    number: 1499,
    title: 'Internal fault',
    message: 'An internal fault occurred on this host.',
    hint: 'Report the request id to the operator.',
    status: 500,
    run: 'outcome unknown',
  },
  // 1500: operator requests.
  'operator-credential-wrong': {
    number: 1501,
    title: 'Operator credential not valid',
    message: 'The operator credential is missing or wrong.',
    hint: 'Send it as "Authorization: Bearer <credential>".',
    status: 401,
    run: 'not run',
  },
  'configuration-invalid': {
    number: 1502,
    title: 'Declarations not valid',
    message: 'The declarations do not match their schema.',
    hint: 'Each mistake is listed with its path and line.',
    status: 422,
    run: 'not run',
  },
  'configuration-conflict': {
    number: 1503,
    title: 'Configuration changed meanwhile',
    message: 'The base version of the edit is not the version in force.',
    hint: 'Fetch the version in force, plan again and apply.',
    status: 409,
    run: 'not run',
  },
  'configuration-outcome-unknown': {
    number: 1504,
    title: 'Edit not settled',
    message: 'It is not known whether the table service accepted the edit.',
    hint: 'Send the same edit with the same token again, or fetch the version in force.',
    status: 503,
    run: 'outcome unknown',
    retryAfterSeconds: 2,
  },
  'configuration-no-majority': {
    number: 1505,
    title: 'Too few failure domains reachable',
    message:
      'An edit is accepted only by a host that reaches more than half of the failure domains.',
    hint: 'Send the edit to an entry host on the larger side of the partition, or wait until the network links work again.',
    status: 503,
    run: 'not run',
    retryAfterSeconds: 5,
  },
  'settings-invalid': {
    number: 1506,
    title: 'Settings not valid',
    message: 'The settings file does not match its schema.',
    hint: 'Each mistake is listed with its path and line.',
    status: 500,
    run: 'not run',
  },
});

/** Name of a result code, such as `rate-exceeded`. */
export type ResultName = keyof typeof resultCodes;

/** Refused request: a result code with the details of this case. */
export interface Refusal {
  readonly code: ResultName;
  /** Details of this case, such as a field, a line or a limit. */
  readonly detail?: string;
  /** Overrides the retry time of the catalogue. Unit: seconds. */
  readonly retryAfterSeconds?: number;
  /** Overrides the run state of the catalogue, where less is known about the outcome. */
  readonly run?: RunState;
  /** Machine-readable details, such as the invalid lines. */
  readonly facts?: Readonly<Record<string, unknown>>;
}

/**
 * Builds a refusal.
 *
 * @param code - name in the catalogue
 * @param extra - details of this case
 * @returns the refusal
 */
export const refuse = (code: ResultName, extra: Omit<Refusal, 'code'> = {}): Refusal => ({
  code,
  ...extra,
});
