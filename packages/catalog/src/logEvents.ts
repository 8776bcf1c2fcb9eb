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
  // 800: hosts that serve straight from targets.
  'configuration-taken': {
    number: 801,
    severity: 'info',
    message: 'Configuration version taken',
    hint: 'Nothing to do.',
  },
  'store-lost': {
    number: 802,
    severity: 'warn',
    message: 'Contact with the row store lost',
    hint: 'Check the row store and the link to it. Keyed requests are refused when it lasts.',
  },
  'store-regained': {
    number: 803,
    severity: 'info',
    message: 'Contact with the row store regained',
    hint: 'Nothing to do.',
  },
  'history-lost': {
    number: 804,
    severity: 'warn',
    message: 'Changes of a table are no longer kept; the table is read anew',
    hint: 'Nothing to do; frequent events point at a short history.',
  },
  'record-unreadable': {
    number: 805,
    severity: 'warn',
    message: 'A row cannot be read and is ignored',
    hint: 'Look for another writer of the table.',
  },
  'target-changed': {
    number: 806,
    severity: 'info',
    message: 'Registration of a target changed',
    hint: 'Nothing to do.',
  },
  'target-gone': {
    number: 807,
    severity: 'info',
    message: 'Target is no longer registered',
    hint: 'Nothing to do.',
  },
  'target-paused': {
    number: 808,
    severity: 'warn',
    message: 'Target gets no new work for a while',
    hint: 'Look at the target when it stays paused.',
  },
  'member-registered': {
    number: 809,
    severity: 'info',
    message: 'Row of this host written',
    hint: 'Nothing to do.',
  },
  'member-removed': {
    number: 810,
    severity: 'info',
    message: 'Row of a host removed',
    hint: 'Nothing to do when the host is gone.',
  },
  'report-failed': {
    number: 811,
    severity: 'warn',
    message: 'A load report could not be sent or read',
    hint: 'Check the links between hosts.',
  },
  'request-served': {
    number: 812,
    severity: 'info',
    message: 'Request answered',
    hint: 'Nothing to do.',
  },
  'attempt-failed': {
    number: 814,
    severity: 'info',
    message: 'A send to a target failed',
    hint: 'See the cause; the request may go to another target.',
  },
  'answer-cut': {
    number: 815,
    severity: 'info',
    message: 'An answer ended before it was whole',
    hint: 'See the reason.',
  },
  'job-ended': {
    number: 817,
    severity: 'info',
    message: 'Batch job ended by its caller',
    hint: 'Nothing to do.',
  },
  'job-taken-over': {
    number: 818,
    severity: 'info',
    message: 'Batch job taken over from a lost host',
    hint: 'Look at the lost host.',
  },
  'job-removed': {
    number: 819,
    severity: 'info',
    message: 'Batch job removed after its time',
    hint: 'Nothing to do.',
  },
  'item-run-ended': {
    number: 820,
    severity: 'info',
    message: 'A run of a batch item ended',
    hint: 'See the kind; the item may run again.',
  },
  'item-finished': {
    number: 821,
    severity: 'info',
    message: 'Batch item has its result',
    hint: 'Nothing to do.',
  },
  'results-delayed': {
    number: 822,
    severity: 'warn',
    message: 'Results could not be recorded yet',
    hint: 'Check the row store.',
  },
  'settings-reloaded': {
    number: 824,
    severity: 'info',
    message: 'Settings file read again',
    hint: 'Nothing to do; addresses change with the next start.',
  },
  'lines-dropped': {
    number: 823,
    severity: 'warn',
    message: 'Log lines were dropped to bound their volume',
    hint: 'Counters are complete; look there.',
  },
  'progress-unsaved': {
    number: 825,
    severity: 'warn',
    message: 'Output of unfinished batch items could not be saved',
    hint: 'If this host is lost now, the items run again from what was saved before.',
  },
  'job-opened': {
    number: 826,
    severity: 'info',
    message: 'Batch job opened',
    hint: 'Nothing to do; the field resumed counts items that go on from output of an earlier holder.',
  },
  'target-leaving': {
    number: 827,
    severity: 'info',
    message: 'Target says that it leaves; it gets nothing new',
    hint: 'Nothing to do; the field source names its answer, or the host that reported it.',
  },
});

/** Name of a log event. */
export type LogEventName = keyof typeof logEvents;
