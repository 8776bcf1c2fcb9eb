/** Describes a request that needs a target to the admission of its host. */
import type { PlacementRequest } from '../admission/Admission.js';
import type { TargetChoice } from '../routing/chooseTarget.js';
import { getBodyIdleTimeoutMs } from './attemptTimeouts.js';
import type { OnlineRequest } from './OnlineRequest.js';
import type { RequestProgress } from './RequestProgress.js';

/**
 * Describes a request.
 *
 * @param request - the request
 * @param progress - its attempts; with one, or with a begun stream, the caller waits for the next event
 * @param chooseTarget - chooses a target by the present load
 * @param now - monotonic time. Unit: ms
 * @returns the description
 */
export const describePlacement = (
  { service, account, route, lifetime, arrivedAt }: OnlineRequest,
  { attempts, version }: Pick<RequestProgress, 'attempts' | 'version'>,
  chooseTarget: () => TargetChoice,
  now = performance.now(),
): PlacementRequest => {
  const isNew = attempts === 0 && version === undefined;
  return {
    service,
    account,
    routePriority: route.priority,
    isNew,
    responseDeadline: isNew ? arrivedAt + route.objectiveMs : now + getBodyIdleTimeoutMs(route),
    callerDeadline: lifetime.deadline,
    signal: lifetime.signal,
    chooseTarget,
  };
};
