/** Queue of the online requests of this host that find no room at targets. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Target } from '../fleet/Target.js';
import type { Timers } from '../online/IdleTimeout.js';
import type { ServiceTimes } from '../placement/ServiceTimes.js';
import type { CandidateCounts, TargetChoice } from '../routing/chooseTarget.js';
import type { ShareTable } from './AccountShares.js';
import type {
  Admission,
  AdmissionState,
  DescribedPlacement,
  Placement,
  PlacementRequest,
} from './Admission.js';
import { compareWaiting, type WaitingPosition } from './orderWaiting.js';
import { ReturnSchedule, type PredictedRoom } from './ReturnSchedule.js';

/** Maximum number of waiting requests of a host; bounds the memory for their bodies. */
const MAX_WAITING = 64;

/** Maximum number of waiting requests of one account, so that it can't fill the queue alone. */
const MAX_WAITING_OF_ACCOUNT = 16;

/** Account name of requests on open routes, which share one bound. */
const NO_ACCOUNT = '';

/** Dependencies of {@link AdmissionQueue}. */
export interface AdmissionQueueDependencies {
  readonly shares: ShareTable;
  readonly times: Pick<ServiceTimes, 'meanFirstMs' | 'slotIntervalMs'>;
  /** Checks whether online requests use most slots of a service. */
  readonly isRoomShort: (service: string) => boolean;
  /** Checks whether an online request would get a slot of a target at once. */
  readonly hasSlot: (target: Target) => boolean;
  readonly timers: Pick<Timers, 'now' | 'after'>;
  readonly random: () => number;
  readonly metrics: Pick<Metrics, 'count' | 'observe'>;
}

interface WaitingRequest extends WaitingPosition {
  readonly request: PlacementRequest;
  readonly enqueuedAt: number;
  /** Monotonic time at which it needs a target, to begin its response in time. Unit: ms. */
  readonly startDeadline: number;
  readonly resolve: (placement: Placement) => void;
  /** Targets when it began to wait. */
  readonly counts: CandidateCounts | undefined;
}

/** Choice of a target, without one that the account may not use while room is short. */
type RestrictedChoice =
  | Exclude<TargetChoice, { kind: 'full' }>
  | {
      readonly kind: 'full';
      readonly counts?: CandidateCounts;
      /** Wait until a target has room, if the router predicts it. Unit: ms. */
      readonly expectedWaitMs?: number | undefined;
    };

/**
 * Lets requests that find no room wait at the host, in order of priority, fair share and deadline, as long as they can
 * still be served in time. Load answered: peaks in which all targets are full for a moment, so that a request refused at
 * once would find room a little later.
 */
export class AdmissionQueue implements Admission {
  private waiting: WaitingRequest[] = [];

  private readonly returns: ReturnSchedule;

  private sequence = 0;

  private cancelTimer: (() => void) | undefined;

  constructor(private readonly dependencies: AdmissionQueueDependencies) {
    this.returns = new ReturnSchedule(dependencies.random);
  }

  /**
   * Returns the number of waiting requests.
   *
   * @returns number of requests
   */
  get length(): number {
    return this.waiting.length;
  }

  place(request: PlacementRequest): Placement | Promise<Placement> {
    const now = this.dependencies.timers.now();
    const position = this.createPosition(request, now);
    const isNext = !this.waiting.some(
      (other) => other.request.service === request.service && compareWaiting(other, position) < 0,
    );
    const choice: RestrictedChoice = isNext
      ? this.chooseTarget(request, position.shareRatio)
      : { kind: 'full' };
    if (choice.kind !== 'full') return choice;
    const startDeadline = request.isNew
      ? request.responseDeadline - this.dependencies.times.meanFirstMs(request.service, now)
      : request.responseDeadline;
    const room = this.predictRoom(request.service, position, choice.expectedWaitMs);
    if (now + (room?.waitMs ?? 0) >= startDeadline)
      return this.refuseNow(request, position.shareRatio, choice.counts);
    return new Promise((resolve) => {
      const entry = {
        ...position,
        request,
        enqueuedAt: now,
        startDeadline,
        resolve,
        counts: choice.counts,
      };
      this.enqueue(entry);
    });
  }

  retryWaiting(): void {
    if (this.waiting.length === 0) return;
    this.refuseHopeless();
    const fullServices = new Set<string>();
    const placed = this.waiting.find((entry) => {
      const { request, isNew, shareRatio } = entry;
      // Requests that left a target, or need one version, find less room than new ones within their share.
      if (fullServices.has(request.service)) return false;
      const choice = this.chooseTarget(request, shareRatio);
      if (choice.kind !== 'full') {
        this.leave(entry, choice);
        return true;
      }
      if (isNew && shareRatio <= 1) fullServices.add(request.service);
      return false;
    });
    // The load of the placed request is counted when it starts; the next one is placed after that.
    if (placed) this.dependencies.timers.after(0, () => this.retryWaiting());
    this.scheduleDeadline();
  }

  describe(request: DescribedPlacement): AdmissionState {
    const { service, account, routePriority, responseDeadline, expectedWaitMs } = request;
    const { shares, times, isRoomShort, timers } = this.dependencies;
    const now = timers.now();
    const shareRatio = shares.getRatio(account, now);
    const position = {
      isNew: true,
      accountPriority: account?.priority ?? routePriority,
      routePriority,
      shareRatio,
      responseDeadline,
      sequence: Number.POSITIVE_INFINITY,
    };
    const room = this.predictRoom(service, position, expectedWaitMs);
    const startDeadline = responseDeadline - times.meanFirstMs(service, now);
    return {
      policy: 'queue',
      ahead: this.countAhead(service, position),
      shareRatio,
      onlyFreeSlots: shareRatio > 1 && isRoomShort(service),
      wouldWait: now + (room?.waitMs ?? 0) < startDeadline,
      ...(room && { predictedWaitMs: room.waitMs }),
    };
  }

  private createPosition(request: PlacementRequest, now: number): WaitingPosition {
    const { account, routePriority, isNew, responseDeadline } = request;
    this.sequence += 1;
    return {
      isNew,
      accountPriority: account?.priority ?? routePriority,
      routePriority,
      // The share binds new requests only: one that a target failed has used its share already.
      shareRatio: isNew ? this.dependencies.shares.getRatio(account, now) : 1,
      responseDeadline,
      sequence: this.sequence,
    };
  }

  /** Chooses a target. An account above its share gets no place in the queue of a target while room is short. */
  private chooseTarget(request: PlacementRequest, shareRatio: number): RestrictedChoice {
    const choice = request.chooseTarget();
    if (choice.kind !== 'target' || shareRatio <= 1) return choice;
    const { hasSlot, isRoomShort } = this.dependencies;
    return hasSlot(choice.target) || !isRoomShort(request.service) ? choice : { kind: 'full' };
  }

  private enqueue(entry: WaitingRequest): void {
    this.waiting.push(entry);
    this.waiting.sort(compareWaiting);
    entry.request.signal.addEventListener('abort', () => this.abort(entry), { once: true });
    const name = entry.request.account?.name ?? NO_ACCOUNT;
    const ofAccount = this.waiting.filter(
      ({ request }) => (request.account?.name ?? NO_ACCOUNT) === name,
    );
    if (ofAccount.length > MAX_WAITING_OF_ACCOUNT) this.refuseWaiting(ofAccount.at(-1)!);
    else if (this.waiting.length > MAX_WAITING) this.refuseWaiting(this.waiting.at(-1)!);
    this.scheduleDeadline();
  }

  private abort(entry: WaitingRequest): void {
    if (this.waiting.includes(entry)) this.leave(entry, { kind: 'aborted' });
  }

  /** Refuses the requests that can't be served in time any more, the last ones first. */
  private refuseHopeless(): void {
    const now = this.dependencies.timers.now();
    [...this.waiting].reverse().forEach((entry) => {
      const isExpired = now >= entry.startDeadline;
      const room = this.predictRoom(entry.request.service, entry, undefined);
      if (isExpired || (room && now + room.waitMs > entry.startDeadline + room.intervalMs))
        this.refuseWaiting(entry);
    });
  }

  private refuseWaiting(entry: WaitingRequest): void {
    this.leave(entry, this.refuseNow(entry.request, entry.shareRatio, entry.counts));
  }

  private leave(entry: WaitingRequest, placement: Placement): void {
    const { timers, metrics } = this.dependencies;
    this.waiting = this.waiting.filter((other) => other !== entry);
    metrics.count('queue.left', { outcome: placement.kind });
    metrics.observe('queue.wait', timers.now() - entry.enqueuedAt);
    entry.resolve(placement);
  }

  private refuseNow(
    { service, callerDeadline }: PlacementRequest,
    shareRatio: number,
    counts: CandidateCounts | undefined,
  ): Placement {
    const now = this.dependencies.timers.now();
    const room = this.predictRoom(service, undefined, undefined);
    const retryAfterSeconds = this.returns.next(room, callerDeadline, now) / 1000;
    const refusal: Refusal = refuse(shareRatio > 1 ? 'share-exceeded' : 'overloaded', {
      retryAfterSeconds,
    });
    return { kind: 'full', refusal, ...(counts && { counts }) };
  }

  /**
   * Predicts when there will be room for a request.
   *
   * @param service - name of the service
   * @param position - position of the request; undefined for the end of the queue
   * @param routedWaitMs - wait until a target has room, as the router predicts it. Unit: ms
   * @param history - history of the service
   * @returns predicted room; undefined if it is not known
   */
  private predictRoom(
    service: string,
    position: WaitingPosition | undefined,
    routedWaitMs: number | undefined,
  ): PredictedRoom | undefined {
    const { times, timers } = this.dependencies;
    const intervalMs = times.slotIntervalMs(service, timers.now());
    if (intervalMs === undefined) return undefined;
    const ahead = this.countAhead(service, position);
    return { intervalMs, waitMs: (routedWaitMs ?? intervalMs) + ahead * intervalMs };
  }

  private countAhead(service: string, position: WaitingPosition | undefined): number {
    return this.waiting.filter(
      (other) =>
        other.request.service === service && (!position || compareWaiting(other, position) < 0),
    ).length;
  }

  /** Wakes the queue when the next request can't be served in time any more. */
  private scheduleDeadline(): void {
    this.cancelTimer?.();
    this.cancelTimer = undefined;
    if (this.waiting.length === 0) return;
    const { timers } = this.dependencies;
    const next = Math.min(...this.waiting.map(({ startDeadline }) => startDeadline));
    this.cancelTimer = timers.after(Math.max(0, next - timers.now()), () => this.retryWaiting());
  }
}
