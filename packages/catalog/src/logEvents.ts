/**
 * The catalogue of log events. `docs/events.md` is generated from this table. Numbers are never
 * used twice.
 */

/** Severity of a log event, as bunyan names it. */
export type Severity = 'debug' | 'info' | 'warn' | 'error';

/** One entry of the catalogue. */
export interface LogEvent {
  readonly number: number;
  readonly severity: Severity;
  readonly message: string;
  /** What an operator does when the event appears. */
  readonly hint: string;
}

const defineEvents = <Name extends string>(
  events: Record<Name, LogEvent>,
): Readonly<Record<Name, LogEvent>> => events;

export const logEvents = defineEvents({
  // 100: life of a process.
  'process-started': {
    number: 101,
    severity: 'info',
    message: 'Process started',
    hint: 'Nothing to do.',
  },
  'process-ready': {
    number: 102,
    severity: 'info',
    message: 'Process ready',
    hint: 'Nothing to do.',
  },
  'stop-requested': {
    number: 103,
    severity: 'info',
    message: 'Graceful shutdown started',
    hint: 'Nothing to do.',
  },
  'stop-complete': {
    number: 104,
    severity: 'info',
    message: 'Graceful shutdown complete',
    hint: 'Nothing to do.',
  },
  'stop-cut': {
    number: 105,
    severity: 'error',
    message: 'Shutdown deadline passed with work still running',
    hint: 'Raise stopWithinMs or look for requests without an end.',
  },
  'settings-invalid': {
    number: 106,
    severity: 'error',
    message: 'Settings are not valid',
    hint: 'Correct the settings named in the event.',
  },
  'unhandled-fault': {
    number: 107,
    severity: 'error',
    message: 'Unhandled fault',
    hint: 'Report the event with its stack.',
  },
  // 200: configuration and membership.
  'configuration-adopted': {
    number: 201,
    severity: 'info',
    message: 'Configuration version adopted',
    hint: 'Nothing to do.',
  },
  'configuration-mode': {
    number: 202,
    severity: 'warn',
    message: 'Configuration mode changed',
    hint: 'On "isolated" check the links of the host; on "outage" check the table service.',
  },
  'configuration-accepted': {
    number: 203,
    severity: 'info',
    message: 'Edit accepted',
    hint: 'Nothing to do.',
  },
  'membership-changed': {
    number: 204,
    severity: 'info',
    message: 'Membership changed',
    hint: 'Nothing to do.',
  },
  'older-version-refused': {
    number: 205,
    severity: 'debug',
    message: 'Older configuration version refused',
    hint: 'Nothing to do: a peer had not got the newer version yet.',
  },
  'host-list-unavailable': {
    number: 206,
    severity: 'warn',
    message: 'Host list unavailable',
    hint: 'The last list stays in use; check the host list.',
  },
  // 300: requests.
  'request-refused': {
    number: 301,
    severity: 'info',
    message: 'Request refused',
    hint: 'See the result code.',
  },
  'request-retried': {
    number: 302,
    severity: 'info',
    message: 'Request retried on another target',
    hint: 'Look for failing targets when frequent.',
  },
  'stream-cut': {
    number: 303,
    severity: 'warn',
    message: 'Stream ended early',
    hint: 'See the reason in the event.',
  },
  'answer-mismatched': {
    number: 304,
    severity: 'error',
    message: 'Answer of another request dropped',
    hint: 'Check the target named in the event.',
  },
  'claim-unrecorded': {
    number: 305,
    severity: 'warn',
    message: 'Answer of a claimed request not recorded yet',
    hint: 'Check the table service; recording is retried.',
  },
  // 400: targets.
  'target-crashed': {
    number: 401,
    severity: 'warn',
    message: 'Target crashed with requests in flight',
    hint: 'See the fingerprints; requests that crash targets are blocked.',
  },
  'target-circuit': {
    number: 402,
    severity: 'warn',
    message: 'Circuit of a target changed',
    hint: 'Check the target when it stays open.',
  },
  'suspect-added': {
    number: 403,
    severity: 'warn',
    message: 'Request recorded as a suspect',
    hint: 'Nothing to do unless frequent.',
  },
  'order-sent': {
    number: 404,
    severity: 'info',
    message: 'Order sent to the target',
    hint: 'Nothing to do.',
  },
  'order-refused': {
    number: 405,
    severity: 'warn',
    message: 'Target refused an order',
    hint: 'Check the fencing number and the state of the target.',
  },
  'target-unavailable': {
    number: 406,
    severity: 'warn',
    message: 'Target unavailable',
    hint: 'Check the target.',
  },
  // 500: batch.
  'job-accepted': {
    number: 501,
    severity: 'info',
    message: 'Batch job accepted',
    hint: 'Nothing to do.',
  },
  'job-cancelled': {
    number: 502,
    severity: 'info',
    message: 'Batch job cancelled',
    hint: 'Nothing to do.',
  },
  'job-completed': {
    number: 503,
    severity: 'info',
    message: 'Batch job completed',
    hint: 'Nothing to do.',
  },
  'chunk-claimed': {
    number: 504,
    severity: 'debug',
    message: 'Chunk claimed',
    hint: 'Nothing to do.',
  },
  'chunk-committed': {
    number: 505,
    severity: 'debug',
    message: 'Chunk committed',
    hint: 'Nothing to do.',
  },
  'chunk-lost': {
    number: 506,
    severity: 'warn',
    message: 'Chunk lease lost',
    hint: 'Another agent runs the chunk; look for pauses when frequent.',
  },
  // 600: rate shares.
  'home-acquired': {
    number: 601,
    severity: 'info',
    message: 'Home lease acquired',
    hint: 'Nothing to do.',
  },
  'home-lost': {
    number: 602,
    severity: 'warn',
    message: 'Home lease lost',
    hint: 'Another entry host takes over; look for pauses when frequent.',
  },
  'share-lapsed': {
    number: 603,
    severity: 'warn',
    message: 'Rate share lapsed',
    hint: 'Check the home of the shard.',
  },
  // 700: platform.
  'platform-unavailable': {
    number: 701,
    severity: 'warn',
    message: 'Platform service unavailable',
    hint: 'Check the table service and the object store.',
  },
  'platform-answer-lost': {
    number: 702,
    severity: 'warn',
    message: 'Answer of a platform write lost',
    hint: 'The write is settled by a repeat with the same token.',
  },
});

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents;
