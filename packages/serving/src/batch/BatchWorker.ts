/** Runs the items of this host's batch jobs on slots that online requests don't use. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { FoundBlock } from '../crashes/BlockedContent.js';
import { computeContentKeys } from '../crashes/contentKeys.js';
import type { CrashGuard } from '../crashes/CrashGuard.js';
import { runGuardedAttempt } from '../crashes/runGuardedAttempt.js';
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import { STORE_CONTACT_TIMEOUT_MS } from '../fleet/Members.js';
import { getPropagationTimeMs } from '../fleet/reportSchedule.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import type { TargetClient } from '../http/TargetClient.js';
import { isTargetFault, type AttemptOutcome } from '../online/runAttempt.js';
import { BatchSlotAllocator, type FreeSlots } from '../routing/BatchSlotAllocator.js';
import { SlotTurns } from '../routing/SlotTurns.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { RunningWork, WorkLedger } from '../placement/WorkLedger.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import { findItemRelease } from './findItemRelease.js';
import type { HeldJob } from './HeldJob.js';
import { HeldJobs, type HeldJobsDependencies } from './HeldJobs.js';
import { MAX_OUTPUT_LENGTH } from './ItemResponse.js';
import type { ItemState } from './JobRecord.js';
import type { ItemTask } from './ItemTask.js';
import type { Urgency } from './itemPlans.js';
import { orderRunningItems, plansForPulses, type ItemPolicy } from './itemPolicies.js';
import { orderItems, type SchedulableItem } from './orderItems.js';
import { PaceEstimator } from './PaceEstimator.js';
import { PulseHistory } from './PulseHistory.js';
import { SchedulingPass, type Placement } from './SchedulingPass.js';
import { StartPlan } from './StartPlan.js';

/**
 * Slots of each target that batch items leave free, so that an online request gets one without waiting.
 * Urgent items may use them to meet their job's due time.
 */
const RESERVED_SLOTS: Readonly<Record<Urgency, number>> = { patient: 1, relaxed: 1, urgent: 0 };

/** Timeout for the response head of a run; the target may queue the item until then. Unit: ms. */
const HEAD_TIMEOUT_MS = 4000;

/** Maximum time between two events of a run. Unit: ms. */
const IDLE_TIMEOUT_MS = 1500;

/** Time limit of a run, which is sent to the target; targets drop requests that exceed it. Unit: ms. */
const RUN_TIMEOUT_MS = 60_000;

/**
 * Maximum size of the response to a run: one byte for each character of the largest output, and as many for framing.
 * Unit: bytes.
 */
const MAX_RESPONSE_BYTES = 2 * MAX_OUTPUT_LENGTH;

/** Status of a response that contains output. */
const COMPLETED_STATUS = 200;

/**
 * Maximum time after which a blocked item is checked again: the block ends early once its content is served elsewhere.
 * Unit: ms.
 */
const BLOCK_RECHECK_MS = 1000;

/** How long load reports of other hosts are collected before one scheduling pass. Unit: ms. */
const REPORT_BATCHING_MS = 40;

/** Dependencies of {@link BatchWorker}. */
export interface BatchWorkerDependencies extends Omit<
  HeldJobsDependencies,
  'onItemsAvailable' | 'onExpired'
> {
  readonly targets: TargetList;
  readonly router: TargetRouter;
  readonly loadTable: LoadTable;
  readonly ledger: WorkLedger;
  readonly health: TargetHealth;
  readonly crashGuard: CrashGuard;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly metrics: Metrics;
  readonly drainingTargets: DrainingTargets;
  /** How items are started and preempted. */
  readonly itemPolicy: ItemPolicy;
}

interface JobTask {
  readonly job: HeldJob;
  readonly task: ItemTask;
}

/** A job of this host as operators see it. */
export interface InspectedJob {
  /** Time until all results are due; negative after that. Unit: ms. */
  readonly dueInMs: number;
  /** Whether this host starts items; false while it stops or has no contact with the store. */
  readonly canStartItems: boolean;
  readonly tasks: readonly ItemTask[];
  /** Returns the number of slots of a target that this host may use now for items that are not urgent. */
  readonly allowanceOf: (candidate: Candidate) => number;
  readonly findBlock: (task: ItemTask, service: string) => FoundBlock | undefined;
}

/** Adds the properties that determine the order of items. */
const toSchedulableItems = (items: readonly JobTask[]): (JobTask & SchedulableItem)[] =>
  items.map(({ job, task }) => ({
    job,
    task,
    dueAt: job.dueAt,
    index: task.index,
    tokens: task.item.tokens,
    events: task.response.eventCount,
  }));

/** Starts and preempts the runs of batch items. */
export class BatchWorker {
  private readonly heldJobs: HeldJobs;

  private readonly slotAllocator: BatchSlotAllocator;

  private readonly slotTurns: Readonly<Record<Urgency, SlotTurns>> = {
    patient: new SlotTurns(),
    relaxed: new SlotTurns(),
    urgent: new SlotTurns(),
  };

  private readonly paceEstimator = new PaceEstimator();

  /** Undefined if items aren't planned. */
  private readonly pulseHistory: PulseHistory | undefined;

  private allocationTimer: NodeJS.Timeout | undefined;

  private reportTimer: NodeJS.Timeout | undefined;

  private stopping = false;

  private isSchedulingQueued = false;

  constructor(private readonly dependencies: BatchWorkerDependencies) {
    this.slotAllocator = new BatchSlotAllocator(dependencies.identity.name);
    this.pulseHistory = plansForPulses[dependencies.itemPolicy]
      ? new PulseHistory(dependencies)
      : undefined;
    this.heldJobs = new HeldJobs({
      ...dependencies,
      onItemsAvailable: () => this.queueScheduling(),
      onExpired: (job) => this.abandonJob(job),
    });
    dependencies.targets.onChange(() => this.queueScheduling());
  }

  /** Starts the periodic search for jobs. */
  start(): void {
    this.heldJobs.start();
    this.pulseHistory?.start();
  }

  /**
   * Counts the items that wait for a slot, for reports to other hosts.
   *
   * @returns number of items
   */
  get waitingItemCount(): number {
    const now = performance.now();
    return this.allItems().filter(({ job, task }) => job.isHeld && task.isWaiting(now)).length;
  }

  /**
   * Cancels all runs and releases the jobs, so that other hosts take them over.
   *
   * @param deadline - monotonic time after which an unresponsive store is no longer waited for. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    this.stopping = true;
    clearTimeout(this.allocationTimer);
    clearTimeout(this.reportTimer);
    this.pulseHistory?.stop();
    await this.heldJobs.stop(deadline);
  }

  /**
   * Describes a job that this host holds, for operators.
   *
   * @param account - name of the account
   * @param id - id of the job
   * @returns its unfinished items; undefined if this host does not hold it
   */
  inspect(account: string, id: string): InspectedJob | undefined {
    const job = this.heldJobs
      .all()
      .find(({ record }) => record.account === account && record.id === id);
    if (!job) return undefined;
    const now = performance.now();
    return {
      dueInMs: job.dueAt - now,
      canStartItems:
        !this.stopping && this.dependencies.timeSinceStoreContact() <= STORE_CONTACT_TIMEOUT_MS,
      tasks: [...job.tasks.values()],
      allowanceOf: this.createOrderedLookup(now),
      findBlock: (task, service) =>
        this.dependencies.crashGuard.findKnownBlock(this.getContentKeys(job, task, service)),
    };
  }

  /** Queues a scheduling pass, unless one is queued already or this host has no open job. */
  queueScheduling(): void {
    if (this.isSchedulingQueued || this.heldJobs.isIdle) return;
    this.isSchedulingQueued = true;
    setImmediate(() => {
      this.isSchedulingQueued = false;
      this.schedule();
    });
  }

  /** Queues one delayed scheduling pass for several load reports, as hundreds of them arrive each second. */
  queueDelayedScheduling(): void {
    if (this.reportTimer || this.heldJobs.isIdle) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      this.schedule();
    }, REPORT_BATCHING_MS);
  }

  /**
   * Checks whether online requests in a report need a slot that an item of this host occupies.
   *
   * @param report - newest report of another host, already applied to the load table
   * @returns whether items must be preempted
   */
  mustPreempt({ loads }: LoadReport): boolean {
    const { loadTable, targets, router } = this.dependencies;
    return loads.some(([id]) => {
      const target = loadTable.ownLoad(id).batch > 0 ? targets.find(id) : undefined;
      return target !== undefined && router.countItemsToCancel(target) > 0;
    });
  }

  private schedule(): void {
    this.preemptItems();
    this.startItems();
  }

  /** Dead-letters the unfinished items of a job whose retention time has passed. */
  private abandonJob(job: HeldJob): void {
    [...job.tasks.values()].forEach((task) => {
      task.run?.controller.abort('outdated');
      this.finish(job, task, 'dead-lettered', 'retention');
    });
  }

  /** Cancels runs at targets that have too few slots for the online requests. */
  private preemptItems(): void {
    const { router, targets, loadTable, metrics } = this.dependencies;
    loadTable.ownLoads().forEach(([id, , batch]) => {
      const target = batch > 0 ? targets.find(id) : undefined;
      if (!target) return;
      const cancelCount = router.countItemsToCancel(target);
      if (cancelCount === 0) return;
      this.slotAllocator.recordPreemption(id, performance.now());
      const runs = toSchedulableItems(this.runningItemsOn(id));
      const pulses = this.pulseHistory?.find(target.service);
      orderRunningItems(runs, this.paceEstimator.pace, pulses, performance.now())
        .slice(0, cancelCount)
        .forEach(({ task }) => {
          metrics.count('batch.preempted');
          task.run?.controller.abort('preempted');
        });
    });
  }

  private runningItemsOn(target: string): JobTask[] {
    return this.allItems().filter(({ task }) => task.run?.target.id === target);
  }

  private allItems(): JobTask[] {
    return this.heldJobs
      .all()
      .flatMap((job) => [...job.tasks.values()].map((task) => ({ job, task })));
  }

  private startItems(): void {
    const { router, view, members, targets, identity, loadTable } = this.dependencies;
    if (this.stopping || this.dependencies.timeSinceStoreContact() > STORE_CONTACT_TIMEOUT_MS)
      return;
    const now = performance.now();
    const waiting = toSchedulableItems(
      this.allItems().filter(({ job, task }) => job.isHeld && task.isWaiting(now)),
    );
    if (waiting.length === 0) return;
    const { pace } = this.paceEstimator;
    const plan = new StartPlan({
      findPulses: this.pulseHistory && ((service) => this.pulseHistory?.find(service)),
      router,
      loadTable,
      pace,
      waiting,
      now,
    });
    const createLookup = this.createAllowanceLookups(plan, now);
    const pass = new SchedulingPass({
      router,
      allowances: {
        patient: createLookup('patient'),
        relaxed: createLookup('relaxed'),
        urgent: createLookup('urgent'),
      },
      random: Math.random,
    });
    orderItems(waiting, pace, now).forEach((item) => {
      const route = view.index?.findRouteByName(item.job.record.route);
      if (!route) return;
      const { services } = route;
      const allowedRegions = view.index?.findAllowedRegions(item.job.record);
      const urgency = plan.judge(item, { services, allowedRegions });
      const placement = pass.place({
        services,
        urgency,
        allowedRegions,
        origin: item.task.response.outputOrigin,
        avoided: item.task.endedTargets,
        isRestartDue: this.isRestartDue(item.task, now),
      });
      if (!placement) {
        if (urgency === 'patient' && plan.hasFreeSlot({ services, allowedRegions }))
          this.recordDeferral(item.task, now);
        return;
      }
      if (this.isBlocked(item, placement.target, now)) pass.release(placement);
      else this.startItem(item, placement);
    });
    pass.usedTargets.forEach((id) => {
      const isLocal = targets.find(id)?.failureDomain === identity.failureDomain;
      this.slotAllocator.recordAllocation(
        id,
        now,
        getPropagationTimeMs(members.fleetSize, isLocal),
      );
    });
    this.planNextAllocation(now);
  }

  /** Checks whether targets crash on an item's content, in which case the item waits. */
  private isBlocked({ job, task }: JobTask, { service }: Target, now: number): boolean {
    const block = this.dependencies.crashGuard.findBlock(this.getContentKeys(job, task, service));
    const releasedAt = block && findItemRelease(block);
    if (releasedAt === undefined || releasedAt <= now) return false;
    Object.assign(task, { notBefore: Math.min(releasedAt, now + BLOCK_RECHECK_MS) });
    this.dependencies.metrics.count('batch.blocked');
    return true;
  }

  private getContentKeys(job: HeldJob, task: ItemTask, service: string): readonly string[] {
    const { item } = task;
    return task.getContentKeys(service, () =>
      computeContentKeys({
        service,
        account: job.record.account,
        path: item.path,
        sharedPromptParts: this.dependencies.dialect.readItemPromptParts(item.headers),
        body: Buffer.from(item.body, 'base64'),
      }),
    );
  }

  /**
   * Checks whether an item has waited for targets that can continue its output for as long as it takes to produce the output
   * again. Waiting longer costs more than it saves.
   */
  private isRestartDue(task: ItemTask, now: number): boolean {
    const { msPerEvent } = this.paceEstimator.pace;
    return task.timeSinceProgress(now) >= task.response.eventCount * msPerEvent;
  }

  /** Records that an item waits as free slots are left to the next pulse of online requests. */
  private recordDeferral(task: ItemTask, now: number): void {
    if (task.deferredAt !== undefined) return;
    Object.assign(task, { deferredAt: now });
    this.dependencies.metrics.count('batch.deferred');
  }

  /** Starts a run of an item, from the beginning if its target can't continue the output so far. */
  private startItem({ job, task }: JobTask, { target, isRestart }: Placement): void {
    if (isRestart) {
      const { origin, eventCount } = task.response;
      task.discardOutput();
      this.dependencies.journal.record('item-restarted', {
        request: task.item.id,
        job: job.record.id,
        ...origin,
        target: target.id,
        events: eventCount,
      });
    }
    void this.runItem(job, task, target);
  }

  /** Returns a function that creates, for items of one urgency, a function that counts the slots of a target they may use now. */
  private createAllowanceLookups(
    plan: StartPlan,
    now: number,
  ): (urgency: Urgency) => (candidate: Candidate) => number {
    const { members, loadTable } = this.dependencies;
    const groupHosts = this.groupWaitingHosts();
    const turnMs = getPropagationTimeMs(members.fleetSize, false);
    return (urgency) => {
      const allowances = new Map<string, number>();
      return (candidate) => {
        const { id, slots, failureDomain } = candidate.target;
        const known = allowances.get(id);
        if (known !== undefined) return known;
        const { online, batch } = candidate.load;
        const unused = slots - RESERVED_SLOTS[urgency] - online - batch;
        const free =
          urgency === 'patient' ? Math.min(unused, plan.countLastingSlots(candidate)) : unused;
        const use = { target: id, free, othersBatch: batch - loadTable.ownLoad(id).batch };
        const unusedTurns = this.slotTurns[urgency].countUnused(use, now, turnMs);
        const allowance = this.slotAllocator.calculateAllowance(
          { target: id, free, ...groupHosts(failureDomain), unusedTurns },
          now,
        );
        allowances.set(id, allowance);
        return allowance;
      };
    };
  }

  /**
   * Returns a function that counts the slots of a target that relaxed items may use now, by the order of the hosts alone: counting
   * the turns that others have left unused changes their number.
   */
  private createOrderedLookup(now: number): (candidate: Candidate) => number {
    const groupHosts = this.groupWaitingHosts();
    return ({ target: { id, slots, failureDomain }, load }) => {
      const free = slots - RESERVED_SLOTS.relaxed - load.online - load.batch;
      return this.slotAllocator.calculateAllowance(
        { target: id, free, ...groupHosts(failureDomain) },
        now,
      );
    };
  }

  /** Returns a function that groups the hosts with waiting items into those inside and outside a failure domain. */
  private groupWaitingHosts(): (
    failureDomain: string,
  ) => Pick<FreeSlots, 'localHosts' | 'remoteHosts'> {
    const { identity, loadTable, members } = this.dependencies;
    const hosts = [
      { name: identity.name, failureDomain: identity.failureDomain },
      ...members.peers.filter(({ name }) => loadTable.hostsWithWaitingItems.has(name)),
    ];
    const toNames = (group: typeof hosts): string[] => group.map(({ name }) => name);
    const groups = new Map<string, Pick<FreeSlots, 'localHosts' | 'remoteHosts'>>();
    return (failureDomain) => {
      const cached = groups.get(failureDomain);
      if (cached) return cached;
      const group = {
        localHosts: toNames(hosts.filter((host) => host.failureDomain === failureDomain)),
        remoteHosts: toNames(hosts.filter((host) => host.failureDomain !== failureDomain)),
      };
      groups.set(failureDomain, group);
      return group;
    };
  }

  /** Queues a scheduling pass for the next time at which this host may allocate slots. */
  private planNextAllocation(now: number): void {
    const delayMs = this.slotAllocator.timeToNextAllocation(now);
    if (delayMs === undefined) return;
    clearTimeout(this.allocationTimer);
    this.allocationTimer = setTimeout(() => this.queueScheduling(), delayMs);
  }

  private async runItem(job: HeldJob, task: ItemTask, target: Target): Promise<void> {
    const { loadTable, health } = this.dependencies;
    const controller = new AbortController();
    const startedAt = performance.now();
    const eventsBefore = task.response.resumableEventCount;
    if (task.deferredAt !== undefined)
      this.dependencies.metrics.observe('items.deferred', startedAt - task.deferredAt);
    Object.assign(task, { run: { target, controller, startedAt }, deferredAt: undefined });
    const endRequest = loadTable.beginRequest(target.id, 'batch');
    this.dependencies.router.recordSend(target);
    const work = this.dependencies.ledger.begin({ target, size: undefined, work: 'batch' });
    const attempt = await this.send(job, task, target, controller.signal, work);
    work.end(attempt.kind === 'complete');
    endRequest();
    const events = task.response.eventCount;
    this.paceEstimator.recordRun(events - eventsBefore, performance.now() - startedAt);
    const state = task.finishRun(attempt, eventsBefore, performance.now());
    if (state === 'completed')
      this.paceEstimator.recordCompletedItem(task.item.tokens, task.response.eventCount);
    if (isTargetFault(attempt)) health.recordFailure(target.id, attempt.cause);
    this.dependencies.metrics.observe('items.run', performance.now() - startedAt);
    this.dependencies.journal.record('item-run-ended', {
      request: task.item.id,
      job: job.record.id,
      target: target.id,
      kind: attempt.kind,
      ...('status' in attempt && { status: attempt.status }),
      ...('cause' in attempt && { cause: attempt.cause }),
      ...(controller.signal.aborted && { cause: String(controller.signal.reason) }),
      events,
      tookMs: Math.round(performance.now() - startedAt),
      state,
    });
    if (state && job.tasks.has(task.index)) this.finish(job, task, state, attempt.kind);
    this.queueScheduling();
  }

  private send(
    job: HeldJob,
    task: ItemTask,
    target: Target,
    signal: AbortSignal,
    work: RunningWork,
  ): Promise<AttemptOutcome> {
    const { client, dialect, health, crashGuard } = this.dependencies;
    const { item, response } = task;
    const { host, account } = job.record;
    response.origin = { service: target.service, version: target.version };
    const rawHeaders = ['Host', host, ...Object.entries(item.headers).flat()];
    return runGuardedAttempt({
      crashGuard,
      contentKeys: this.getContentKeys(job, task, target.service),
      client,
      dialect,
      target,
      request: {
        id: item.id,
        method: 'POST',
        path: item.path,
        headers: dialect.buildItemHeaders(rawHeaders, item.id, {
          target,
          account,
          remainingMs: RUN_TIMEOUT_MS,
          resumeAfter: response.lastEventId,
        }),
        body: Buffer.from(item.body, 'base64'),
      },
      sink: response,
      signal,
      headTimeoutMs: HEAD_TIMEOUT_MS,
      bodyIdleTimeoutMs: IDLE_TIMEOUT_MS,
      onIdleTimeout: () => {
        health.recordFailure(target.id, 'silent');
        return true;
      },
      maxResponseBytes: MAX_RESPONSE_BYTES,
      onProgress: (events) => work.recordEvents(events),
      // Any response counts as a success: an item may fail at every target, so its status says nothing
      // about the target's health.
      onResponse: () => health.recordSuccess(target.id),
      onDraining: () => this.dependencies.drainingTargets.add(target),
      // With any other status the attempt ends here: such a response has no output, and the item only needs its status.
      shouldRetryStatus: (status) => status !== COMPLETED_STATUS,
    });
  }

  private finish(job: HeldJob, task: ItemTask, state: ItemState, cause: string): void {
    this.dependencies.metrics.count('batch.items', { outcome: state });
    this.dependencies.journal.record('item-finished', {
      request: task.item.id,
      job: job.record.id,
      state,
      cause,
      failures: task.failures,
    });
    job.finish(task, state);
  }
}
