/** Outcomes of requests, and how a request ends when no further attempt follows. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { refuseStopping } from '../http/Shutdown.js';
import type { OnlineRequest } from './OnlineRequest.js';
import type { RequestLifetime } from './RequestLifetime.js';
import type { CompletedAttempt, RequestProgress } from './RequestProgress.js';

/** Bounds of the retry delay while the fleet is full. Unit: seconds. */
const OVERLOAD_RETRY_SECONDS = { min: 0.3, max: 1.1 } as const;

/** Retry delay while there is no target. Unit: seconds. */
const NO_TARGET_RETRY_SECONDS = 0.5;

/** Outcome of a request. */
export type RequestOutcome =
  | (CompletedAttempt & {
      readonly kind: 'complete';
      /** Whether another target has confirmed that no events follow. */
      readonly isConfirmed: boolean;
    })
  | { readonly kind: 'refused'; readonly refusal: Refusal }
  /** A part of the response was passed on, and it cannot be continued. */
  | { readonly kind: 'cut'; readonly cause: string }
  | { readonly kind: 'caller-gone' };

const drawRetrySeconds = (): number =>
  OVERLOAD_RETRY_SECONDS.min +
  Math.random() * (OVERLOAD_RETRY_SECONDS.max - OVERLOAD_RETRY_SECONDS.min);

/**
 * Refuses a request after the last attempt.
 *
 * @param progress - its attempts
 * @returns refusal that states whether the request may have run
 */
export const refuseAfterFailures = ({ possibleRuns }: RequestProgress): Refusal =>
  possibleRuns > 0
    ? refuse('target-failed')
    : refuse('no-target', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS });

/** Refusals of aborted requests by the reason for the abort. */
const refusalsOfAborted = {
  deadline: {
    run: () => refuse('deadline-passed'),
    notRun: () => refuse('deadline-passed-in-queue'),
  },
  stopping: { run: () => refuse('stopped-in-progress'), notRun: refuseStopping },
};

/**
 * Refuses a request that was aborted before any target had it.
 *
 * @param lifetime - lifetime of the request
 * @returns the refusal; undefined if the caller has disconnected
 */
export const refuseUnsent = ({
  abortReason,
}: Pick<RequestLifetime, 'abortReason'>): Refusal | undefined =>
  abortReason === undefined || abortReason === 'caller-gone'
    ? undefined
    : refusalsOfAborted[abortReason].notRun();

/**
 * Ends a request that was aborted.
 *
 * @param request - the request
 * @param progress - its attempts
 * @returns outcome by the reason for the abort
 */
export const endAborted = (
  { lifetime, callerResponse }: OnlineRequest,
  { possibleRuns }: RequestProgress,
): RequestOutcome => {
  const { abortReason = 'deadline' } = lifetime;
  if (abortReason === 'caller-gone') return { kind: 'caller-gone' };
  if (callerResponse.started) return { kind: 'cut', cause: abortReason };
  const { run, notRun } = refusalsOfAborted[abortReason];
  return { kind: 'refused', refusal: possibleRuns > 0 ? run() : notRun() };
};

/** Refusals by the reason why there is no target. */
const refusalsWithoutTarget = {
  full: () => refuse('overloaded', { retryAfterSeconds: drawRetrySeconds() }),
  none: () => refuse('no-target', { retryAfterSeconds: NO_TARGET_RETRY_SECONDS }),
  forbidden: () => refuse('no-permitted-target'),
};

/**
 * Ends a response, unless its end would state more than is known.
 *
 * @param completed - attempt with which the response may be complete
 * @param isConfirmed - whether another target has confirmed that no events follow
 * @param request - the request
 * @returns outcome of the request
 */
export const endComplete = (
  completed: CompletedAttempt,
  isConfirmed: boolean,
  { callerResponse }: Pick<OnlineRequest, 'callerResponse'>,
): RequestOutcome => {
  if (completed.canEnd || isConfirmed) return { kind: 'complete', ...completed, isConfirmed };
  return callerResponse.started
    ? { kind: 'cut', cause: 'unknown-end' }
    : { kind: 'refused', refusal: refuse('target-failed') };
};

/**
 * Ends a request for which no target is left.
 *
 * @param kind - why there is no target
 * @param request - the request
 * @param progress - its attempts
 * @param notRun - refusal if it has not run; the usual one if undefined
 * @returns outcome of the request
 */
export const endWithoutTarget = (
  kind: keyof typeof refusalsWithoutTarget,
  { callerResponse }: OnlineRequest,
  progress: RequestProgress,
  notRun: Refusal = refusalsWithoutTarget[kind](),
): RequestOutcome => {
  if (callerResponse.started) return { kind: 'cut', cause: 'no other target' };
  const refusal = progress.possibleRuns > 0 ? refuseAfterFailures(progress) : notRun;
  return { kind: 'refused', refusal };
};
