/** Decides whether a request leaves its target before the response has ended, so that another target can serve it. */
import type { Target } from '../fleet/Target.js';
import type { ReturnTarget, TargetRouter } from '../routing/TargetRouter.js';
import type { OnlineRequest } from './OnlineRequest.js';
import type { RequestProgress } from './RequestProgress.js';

/** An attempt in progress. */
export interface RunningAttempt {
  readonly router: Pick<TargetRouter, 'hasAlternative' | 'findReturnTarget'>;
  readonly request: OnlineRequest;
  readonly target: Target;
  readonly progress: RequestProgress;
  /** Progress of the response to the caller before the attempt. */
  readonly received: number;
}

/** Version of the targets that can continue the response; undefined if any can. */
const findRequiredVersion = ({ request, target, progress }: RunningAttempt): string | undefined =>
  progress.version ?? (request.callerResponse.started ? target.version : undefined);

const mayRunOnFurtherTarget = (attempt: RunningAttempt, hasFailed: boolean): boolean => {
  const { router, request, target, progress } = attempt;
  return (
    progress.mayRunFurtherAfter(target.id, hasFailed, request.route.attempts) &&
    router.hasAlternative(
      request.service,
      new Set(progress.excludedTargets).add(target.id),
      findRequiredVersion(attempt),
      request.allowedRegions,
    )
  );
};

const findReturnTarget = (attempt: RunningAttempt): ReturnTarget | undefined => {
  const { router, request, progress } = attempt;
  return router.findReturnTarget(
    request.service,
    progress.returnableTargets,
    findRequiredVersion(attempt),
    request.allowedRegions,
  );
};

/** Checks whether the attempt only has to confirm the end of the response, and nothing of it shows the contrary. */
const isConfirming = ({ request: { callerResponse }, progress, received }: RunningAttempt) =>
  progress.unconfirmedEnd !== undefined &&
  callerResponse.progress === received &&
  !callerResponse.hasPartialEvent;

/**
 * Checks whether a request leaves a target that is silent. The target may go on, so the request leaves it only if its response
 * can be continued, and for a target that is likely to do so.
 *
 * @param attempt - the attempt at the target
 * @returns whether the attempt ends
 */
export const mayLeaveSilentTarget = (attempt: RunningAttempt): boolean => {
  const { request, target, progress } = attempt;
  if (isConfirming(attempt)) return true;
  return (
    request.repeatable &&
    request.callerResponse.canContinue &&
    !progress.hasReturnedTo(target.id) &&
    (mayRunOnFurtherTarget(attempt, false) || findReturnTarget(attempt)?.responsive === true)
  );
};

/**
 * Checks whether a request leaves a target that reports its own failure before any part of the response is passed on.
 *
 * @param attempt - the attempt at the target
 * @returns whether another target may serve the request in its place
 */
export const mayLeaveFailedTarget = (attempt: RunningAttempt): boolean =>
  attempt.request.repeatable &&
  (mayRunOnFurtherTarget(attempt, true) || findReturnTarget(attempt) !== undefined);
