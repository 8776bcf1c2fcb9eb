/** Sends one request to targets until one has sent a complete response, or no further attempt is allowed. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { Admission, Placement } from '../admission/Admission.js';
import type { CrashGuard } from '../crashes/CrashGuard.js';
import { runGuardedAttempt } from '../crashes/runGuardedAttempt.js';
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import type { Target } from '../fleet/Target.js';
import type { Dialect } from '../http/Dialect.js';
import { refuseStopping, type Shutdown } from '../http/Shutdown.js';
import type { TargetClient } from '../http/TargetClient.js';
import type { WorkLedger } from '../placement/WorkLedger.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { ReturnTarget, TargetRouter } from '../routing/TargetRouter.js';
import { getBodyIdleTimeoutMs, getHeadTimeoutMs } from './attemptTimeouts.js';
import type { CallerResponse } from './CallerResponse.js';
import { mayLeaveFailedTarget, mayLeaveSilentTarget, type RunningAttempt } from './leaveTarget.js';
import { describePlacement } from './describePlacement.js';
import type { OnlineRequest } from './OnlineRequest.js';
import type { CompletedAttempt, RequestProgress } from './RequestProgress.js';
import {
  endAborted,
  endComplete,
  endWithoutTarget,
  refuseAfterFailures,
  type RequestOutcome,
} from './requestOutcomes.js';
import { isTargetFault, type AttemptOutcome } from './runAttempt.js';

/** Number of attempts after which a request is not retried, even if the last attempt provably did not run it. */
const MAX_ATTEMPTS_NOT_RUN = 4;

/** Status with which a target reports its own failure; 504 only reports that the deadline passed. */
const FAILED_STATUS = 500;

/**
 * Time after which a stream that can go on nowhere else is sent again to targets that failed it. About as long as one of eight
 * slots takes to become free. Unit: ms.
 */
const SAME_TARGET_RETRY_DELAY_MS = 100;

/** Maximum size of the response body of one target; also ends an endless stream of valid events. Unit: bytes. */
const MAX_RESPONSE_BYTES = 16_777_216;

/** Dependencies of {@link RequestAttempts}. */
export interface RequestAttemptsDependencies {
  readonly router: TargetRouter;
  readonly admission: Admission;
  readonly loadTable: LoadTable;
  readonly ledger: WorkLedger;
  readonly crashGuard: CrashGuard;
  readonly health: TargetHealth;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Called when a request is about to be sent to a target. */
  readonly onAttemptStart: (target: Target) => void;
  readonly drainingTargets: DrainingTargets;
  readonly shutdown: Shutdown;
}

/**
 * Checks whether another target may continue the response. A response that exceeded the size limit is invalid, so once
 * part of it has been passed on it isn't continued.
 */
const canContinue = (callerResponse: CallerResponse, { kind }: AttemptOutcome): boolean =>
  callerResponse.canContinue && !(callerResponse.started && kind === 'overlong');

/**
 * Checks whether a target may serve a request a moment after it failed it: it rejected the request, or lost the connection
 * before a part of its response was passed on. A response that has started isn't continued there, as its caller may take it up again.
 */
const mayServeLater = ({ started }: CallerResponse, outcome: AttemptOutcome): boolean =>
  outcome.kind === 'not-run'
    ? !outcome.unreachable
    : outcome.kind === 'broken' && outcome.connectionLost && !started;

/** Checks whether a target has rejected a request that returned to it; it may still be busy with the run that was ended. */
const isRejectedReturn = (
  { id }: Target,
  outcome: AttemptOutcome,
  progress: RequestProgress,
): boolean => outcome.kind === 'not-run' && !outcome.unreachable && progress.hasReturnedTo(id);

/** Waits for a placement in the queue of the host. */
const awaitPlacement = async (
  placement: Promise<Placement>,
  progress: RequestProgress,
): Promise<Placement> => {
  const enqueuedAt = performance.now();
  const settled = await placement;
  progress.recordQueued(performance.now() - enqueuedAt);
  return settled;
};

/** Ends a request without a target; without a placement if no further target may run it. */
const endUnplaced = (
  request: OnlineRequest,
  placement: Exclude<Placement, { kind: 'target' | 'aborted' }> | undefined,
  progress: RequestProgress,
): RequestOutcome => {
  if (placement?.counts) progress.recordNoTarget(placement.counts);
  const refusal = placement?.kind === 'full' ? placement.refusal : undefined;
  return endWithoutTarget(placement?.kind ?? 'none', request, progress, refusal);
};

/** Tries targets for the requests of callers. */
export class RequestAttempts {
  constructor(private readonly dependencies: RequestAttemptsDependencies) {}

  /**
   * Tries targets until one has sent a complete response or no further attempt is allowed.
   *
   * @param request - the request
   * @param progress - records its attempts
   * @returns outcome of the request
   */
  async run(request: OnlineRequest, progress: RequestProgress): Promise<RequestOutcome> {
    for (;;) {
      if (request.lifetime.abortReason) return endAborted(request, progress);
      const placement = this.placeRequest(request, progress);
      // Awaiting a placement that is known would let other requests choose before this one is counted.
      const chosen =
        placement instanceof Promise ? await awaitPlacement(placement, progress) : placement;
      if (chosen?.kind === 'aborted') return endAborted(request, progress);
      if (this.isTooLateToRun(request, progress))
        return { kind: 'refused', refusal: refuseStopping() };
      if (chosen?.kind === 'target') {
        const ended = await this.tryTarget(request, chosen.target, progress);
        if (ended) return ended;
      } else if (progress.unconfirmedEnd) {
        return endComplete(progress.unconfirmedEnd, false, request);
      } else if (chosen && progress.version !== undefined && progress.readmitRecovering()) {
        await systemClock.sleep(SAME_TARGET_RETRY_DELAY_MS, request.lifetime.signal);
      } else {
        return endUnplaced(request, chosen, progress);
      }
    }
  }

  /** Checks whether the host stops before a target may have begun to respond, and none can have run the request. */
  private isTooLateToRun(
    { route, callerResponse }: OnlineRequest,
    { possibleRuns }: RequestProgress,
  ): boolean {
    const { isIntakeOver, answersDueAt } = this.dependencies.shutdown;
    return (
      isIntakeOver &&
      possibleRuns === 0 &&
      !callerResponse.started &&
      answersDueAt - performance.now() < getHeadTimeoutMs(route)
    );
  }

  /**
   * Finds the next target; undefined if no further target may run the request. If the request has left a silent target, it
   * returns there unless another one that looks healthy can run it.
   */
  private placeRequest(
    request: OnlineRequest,
    progress: RequestProgress,
  ): Placement | Promise<Placement> | undefined {
    const { router } = this.dependencies;
    const { service, route, allowedRegions } = request;
    const { excludedTargets, version, unconfirmedEnd } = progress;
    const left = unconfirmedEnd ? undefined : this.findReturnTarget(request, progress);
    const mayRunFurther = progress.mayRunFurther(route.attempts);
    const prefersFurther =
      mayRunFurther &&
      progress.attempts < Math.max(MAX_ATTEMPTS_NOT_RUN, route.attempts) &&
      router.hasAlternative(service, excludedTargets, version, allowedRegions);
    if (!left && !mayRunFurther) return undefined;
    if (!left || prefersFurther)
      return this.dependencies.admission.place(
        describePlacement(request, progress, () =>
          router.chooseForOnline({
            service,
            excluded: excludedTargets,
            version,
            size: request.head.size,
            allowed: allowedRegions,
          }),
        ),
      );
    progress.recordReturn(left.target.id);
    return { kind: 'target', target: left.target };
  }

  /** Finds a target that the request has left while it was silent, and that can still run the request. */
  private findReturnTarget(
    { service, allowedRegions }: OnlineRequest,
    { returnableTargets, version }: RequestProgress,
  ): ReturnTarget | undefined {
    return this.dependencies.router.findReturnTarget(
      service,
      returnableTargets,
      version,
      allowedRegions,
    );
  }

  /** Sends a request to a target. Returns the outcome of the request, unless another attempt follows. */
  private async tryTarget(
    request: OnlineRequest,
    target: Target,
    progress: RequestProgress,
  ): Promise<RequestOutcome | undefined> {
    const { callerResponse } = request;
    const received = callerResponse.progress;
    progress.countAttempt();
    const outcome = await this.attempt(request, target, progress);
    if (callerResponse.started) progress.beginStream(target.version);
    if (outcome.kind === 'complete') progress.recordPossibleRun(target.id, false);
    else this.recordFailedAttempt(request, target, outcome, progress);
    if (progress.unconfirmedEnd) {
      const hasFurtherEvents = callerResponse.progress > received || callerResponse.hasPartialEvent;
      if (!hasFurtherEvents && request.lifetime.abortReason !== 'caller-gone') {
        if (outcome.kind === 'complete') progress.recordEnd(target, callerResponse.progress);
        return endComplete(progress.unconfirmedEnd, progress.endEvidence.isProven, request);
      }
      if (hasFurtherEvents) this.recordFalseEnd(request, progress.unconfirmedEnd);
      progress.recordUnconfirmedEnd(undefined);
    }
    if (outcome.kind === 'complete')
      return this.endOrConfirm(
        request,
        { attempt: outcome, target, canEnd: callerResponse.canEnd },
        progress,
      );
    const ended = this.endOrRetry(request, outcome, progress);
    if (!ended && isRejectedReturn(target, outcome, progress))
      await systemClock.sleep(SAME_TARGET_RETRY_DELAY_MS, request.lifetime.signal);
    return ended;
  }

  /** Ends a response, unless another target has to confirm its end. */
  private endOrConfirm(
    request: OnlineRequest,
    completed: CompletedAttempt,
    progress: RequestProgress,
  ): RequestOutcome | undefined {
    const { callerResponse, route, contentKeys } = request;
    if (
      !callerResponse.needsConfirmation ||
      progress.possibleRuns >= route.attempts ||
      this.dependencies.crashGuard.findBlock(contentKeys)
    )
      return endComplete(completed, false, request);
    callerResponse.awaitConfirmation();
    progress.recordEnd(completed.target, callerResponse.progress);
    progress.recordUnconfirmedEnd(completed);
    progress.excludedTargets.add(completed.target.id);
    return undefined;
  }

  /** Records that a target has closed its connection within a stream. */
  private recordFalseEnd({ callerResponse }: OnlineRequest, { target }: CompletedAttempt): void {
    callerResponse.recordFalseEnd();
    this.dependencies.health.recordFailure(target.id, 'stream ended before its last event');
  }

  /** Ends a request after a failed attempt, unless another one may follow. */
  private endOrRetry(
    request: OnlineRequest,
    outcome: Exclude<AttemptOutcome, { kind: 'complete' }>,
    progress: RequestProgress,
  ): RequestOutcome | undefined {
    const { callerResponse, repeatable, route } = request;
    if (outcome.kind === 'given-up') return endAborted(request, progress);
    const mayRunAgain =
      repeatable &&
      canContinue(callerResponse, outcome) &&
      !this.dependencies.crashGuard.findBlock(request.contentKeys);
    const mayReturn = mayRunAgain && this.findReturnTarget(request, progress) !== undefined;
    const mayRetry =
      progress.mayRunFurther(route.attempts) &&
      (outcome.kind === 'not-run' ? progress.attempts < MAX_ATTEMPTS_NOT_RUN : mayRunAgain);
    if (!mayRetry && !mayReturn) {
      if (callerResponse.started) return { kind: 'cut', cause: outcome.kind };
      return { kind: 'refused', refusal: refuseAfterFailures(progress) };
    }
    this.dependencies.metrics.count('requests.retried', { reason: outcome.kind });
    return undefined;
  }

  private async attempt(
    request: OnlineRequest,
    target: Target,
    progress: RequestProgress,
  ): Promise<AttemptOutcome> {
    const { client, dialect, loadTable, health, router, crashGuard } = this.dependencies;
    const { head, route, account, lifetime, callerResponse, message, body } = request;
    const { progress: received } = callerResponse;
    const running: RunningAttempt = { router, request, target, progress, received };
    const work = this.dependencies.ledger.begin({
      target,
      size: head.size,
      work: 'online',
      account: account?.name,
    });
    const endLoad = loadTable.beginRequest(target.id, 'online');
    router.recordSend(target);
    this.dependencies.onAttemptStart(target);
    const outcome = await runGuardedAttempt({
      crashGuard,
      contentKeys: request.contentKeys,
      client,
      dialect,
      target,
      request: {
        id: head.id,
        method: message.method ?? 'GET',
        path: head.path,
        headers: dialect.buildTargetHeaders(message.rawHeaders, {
          target,
          account: account?.name,
          remainingMs: lifetime.remainingMs,
          resumeAfter: callerResponse.lastEventId,
        }),
        body: body.length > 0 ? body : null,
      },
      sink: callerResponse,
      signal: lifetime.signal,
      headTimeoutMs: getHeadTimeoutMs(route),
      bodyIdleTimeoutMs: getBodyIdleTimeoutMs(route),
      onIdleTimeout: () => {
        health.recordFailure(target.id, 'silent');
        return mayLeaveSilentTarget(running);
      },
      onResumed: () => health.recordSuccess(target.id),
      onResponse: (status) => {
        if (status === FAILED_STATUS) health.recordFailure(target.id, `status ${status}`);
        else health.recordSuccess(target.id);
      },
      onProgress: (events) => work.recordEvents(events),
      onDraining: () => this.dependencies.drainingTargets.add(target),
      shouldRetryStatus: (status) => status === FAILED_STATUS && mayLeaveFailedTarget(running),
      maxResponseBytes: MAX_RESPONSE_BYTES,
    });
    work.end(outcome.kind === 'complete');
    endLoad();
    return outcome;
  }

  private recordFailedAttempt(
    request: OnlineRequest,
    target: Target,
    outcome: AttemptOutcome,
    progress: RequestProgress,
  ): void {
    const { health, journal } = this.dependencies;
    const { head, account, callerResponse } = request;
    progress.excludedTargets.add(target.id);
    if (outcome.kind !== 'not-run')
      progress.recordPossibleRun(target.id, outcome.kind !== 'silent');
    if (
      outcome.kind === 'silent' ||
      (isRejectedReturn(target, outcome, progress) && progress.attempts < MAX_ATTEMPTS_NOT_RUN)
    )
      progress.recordLeft(target.id);
    if (mayServeLater(callerResponse, outcome)) progress.recordRecovering(target.id);
    if (isTargetFault(outcome)) health.recordFailure(target.id, outcome.cause);
    journal.record('attempt-failed', {
      request: head.id,
      account: account?.name,
      promptParts: head.sharedPromptParts,
      target: target.id,
      version: target.version,
      kind: outcome.kind,
      ...('cause' in outcome && { cause: outcome.cause }),
      ...('connectionLost' in outcome && { connectionLost: outcome.connectionLost }),
      lastEventId: callerResponse.lastEventId,
      received: callerResponse.progress,
      sends: progress.attempts,
    });
  }
}
