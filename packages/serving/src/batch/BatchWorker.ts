/** Runs the items of the jobs that this host holds where online requests leave room. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { DrainingTargets } from '../fleet/DrainingTargets.js';
import { STORE_CONTACT_TIMEOUT_MS } from '../fleet/Members.js';
import { getPropagationTimeMs } from '../fleet/reportSchedule.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import type { TargetClient } from '../http/TargetClient.js';
import { isTargetFault, runAttempt, type AttemptOutcome } from '../online/runAttempt.js';
import { BatchSlotAllocator, type FreeSlots } from '../routing/BatchSlotAllocator.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { LoadTable } from '../routing/LoadTable.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { HeldJob } from './HeldJob.js';
import { HeldJobs, type HeldJobsDependencies } from './HeldJobs.js';
import { MAX_OUTPUT_LENGTH } from './ItemResponse.js';
import type { ItemState } from './JobRecord.js';
import type { ItemTask } from './ItemTask.js';
import { orderItems, estimateRemainingMs, type SchedulableItem } from './orderItems.js';
import { orderForPreemption } from './orderForPreemption.js';
import { PaceEstimator } from './PaceEstimator.js';

/**
 * Slots of each target that are kept free for online requests, so that a chat finds one at once, unless
 * an item needs it to be on time.
 */
const RESERVED_SLOTS = { relaxed: 1, urgent: 0 } as const;

/** Time to spare below which an item is urgent: about the length of one peak of traffic. Unit: ms. */
const URGENT_SLACK_MS = 4000;

/** Silence of a target before the first event of an item, which may wait there. Unit: ms. */
const FIRST_EVENT_TIMEOUT_MS = 4000;

/** Silence of a target between the events of an item. Unit: ms. */
const IDLE_TIMEOUT_MS = 1500;

/** Time that a run may take; targets drop requests whose time is up. Unit: ms. */
const RUN_TIMEOUT_MS = 60_000;

/** Largest answer to a run: the largest output with as many bytes around it. Unit: bytes. */
const MAX_RESPONSE_BYTES = 2 * MAX_OUTPUT_LENGTH;

/** Status of an answer that carries output. */
const COMPLETED_STATUS = 200;

/** How long reports of other hosts are collected before items start or make room. Unit: ms. */
const REPORT_BATCHING_MS = 40;

/** What the worker needs. */
export interface BatchWorkerDependencies extends Omit<
  HeldJobsDependencies,
  'onOpened' | 'onOutdated'
> {
  readonly targets: TargetList;
  readonly router: TargetRouter;
  readonly loads: LoadTable;
  readonly health: TargetHealth;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly metrics: Metrics;
  readonly departures: DrainingTargets;
}

interface JobTask {
  readonly job: HeldJob;
  readonly task: ItemTask;
}

/** Adds what the order of items depends on. */
const toSchedulableItems = (items: readonly JobTask[]): (JobTask & SchedulableItem)[] =>
  items.map(({ job, task }) => ({
    job,
    task,
    due: job.dueAt,
    index: task.index,
    tokens: task.item.tokens,
    events: task.response.eventCount,
  }));

/** Runs batch items. */
export class BatchWorker {
  private readonly heldJobs: HeldJobs;

  private readonly slotAllocator: BatchSlotAllocator;

  private readonly paceEstimator = new PaceEstimator();

  private allocationTimer: NodeJS.Timeout | undefined;

  private reportTimer: NodeJS.Timeout | undefined;

  private stopping = false;

  private isSchedulingQueued = false;

  constructor(private readonly dependencies: BatchWorkerDependencies) {
    this.slotAllocator = new BatchSlotAllocator(dependencies.identity.name);
    this.heldJobs = new HeldJobs({
      ...dependencies,
      onOpened: () => this.wake(),
      onOutdated: (job) => this.abandonJob(job),
    });
    dependencies.targets.onChange(() => this.wake());
  }

  /** Starts looking for work. */
  start(): void {
    this.heldJobs.start();
  }

  /**
   * Counts the items that wait for a slot, for reports to other hosts.
   *
   * @returns number of items
   */
  get waitingItems(): number {
    const now = performance.now();
    return this.allItems().filter(({ job, task }) => job.isHeld && task.isWaiting(now)).length;
  }

  /**
   * Cancels the runs and gives the jobs back, so that other hosts run them.
   *
   * @param deadline - monotonic time until which a store that does not answer is waited for. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    this.stopping = true;
    clearTimeout(this.allocationTimer);
    clearTimeout(this.reportTimer);
    await this.heldJobs.stop(deadline);
  }

  /** Looks at once whether items can start or must make room, after a change of own loads or of targets. */
  wake(): void {
    if (this.isSchedulingQueued || this.heldJobs.isIdle) return;
    this.isSchedulingQueued = true;
    setImmediate(() => {
      this.isSchedulingQueued = false;
      this.schedule();
    });
  }

  /** Looks soon, after a report of another host: reports come by the hundred a second. */
  wakeSoon(): void {
    if (this.reportTimer || this.heldJobs.isIdle) return;
    this.reportTimer = setTimeout(() => {
      this.reportTimer = undefined;
      this.schedule();
    }, REPORT_BATCHING_MS);
  }

  /**
   * Tells whether a report says that online requests wait for a slot that an item of this host has.
   *
   * @param report - newest report of another host, which the loads contain
   * @returns whether items must leave
   */
  mustPreempt({ loads: reported }: LoadReport): boolean {
    const { loads, targets, router } = this.dependencies;
    return reported.some(([id]) => {
      const target = loads.ownLoad(id).batch > 0 ? targets.find(id) : undefined;
      return target !== undefined && router.countItemsToCancel(target) > 0;
    });
  }

  private schedule(): void {
    this.preemptItems();
    this.startItems();
  }

  /** Ends the items of a job that nobody waits for any more. */
  private abandonJob(job: HeldJob): void {
    [...job.tasks.values()].forEach((task) => {
      task.run?.controller.abort('outdated');
      this.finish(job, task, 'dead-lettered', 'retention');
    });
  }

  /** Cancels items where online requests find no slot. */
  private preemptItems(): void {
    const { router, targets, loads, metrics } = this.dependencies;
    loads.ownLoads().forEach(([id, , batch]) => {
      const target = batch > 0 ? targets.find(id) : undefined;
      if (!target) return;
      const excess = router.countItemsToCancel(target);
      if (excess === 0) return;
      this.slotAllocator.recordPreemption(id, performance.now());
      const runs = toSchedulableItems(this.runningItemsOn(id));
      orderForPreemption(runs, this.paceEstimator.pace, performance.now())
        .slice(0, excess)
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
    const { router, view, members, targets, identity } = this.dependencies;
    if (this.stopping || this.dependencies.storeAge() > STORE_CONTACT_TIMEOUT_MS) return;
    const now = performance.now();
    const waiting = toSchedulableItems(
      this.allItems().filter(({ job, task }) => job.isHeld && task.isWaiting(now)),
    );
    if (waiting.length === 0) return;
    const taken = new Map<string, number>();
    /** Services and urgencies without a slot: the other items of the same kind need not look for one. */
    const withoutSlot = new Set<string>();
    const allowances = {
      relaxed: this.createAllowanceLookup(now, RESERVED_SLOTS.relaxed, taken),
      urgent: this.createAllowanceLookup(now, RESERVED_SLOTS.urgent, taken),
    };
    orderItems(waiting, this.paceEstimator.pace, now).forEach((item) => {
      const { job, task } = item;
      const route = view.directory?.findRouteByName(job.record.route);
      const service = route?.services[0]?.service;
      if (service === undefined) return;
      const spareMs = item.due - now - estimateRemainingMs(item, this.paceEstimator.pace);
      const urgency = spareMs < URGENT_SLACK_MS ? 'urgent' : 'relaxed';
      const kind = `${service}/${urgency}`;
      if (withoutSlot.has(kind)) return;
      const target = router.chooseForBatch(service, allowances[urgency]);
      if (!target) {
        withoutSlot.add(kind);
        return;
      }
      taken.set(target.id, (taken.get(target.id) ?? 0) + 1);
      void this.runItem(job, task, target);
    });
    taken.forEach((_, id) => {
      const isNear = targets.find(id)?.failureDomain === identity.failureDomain;
      this.slotAllocator.recordAllocation(id, now, getPropagationTimeMs(members.size, isNear));
    });
    this.planNextAllocation(now);
  }

  /** Gives the slots of targets that this host may take in this round, less those already taken. */
  private createAllowanceLookup(
    now: number,
    reserve: number,
    taken: ReadonlyMap<string, number>,
  ): (candidate: Candidate) => number {
    const hostsOf = this.groupWaitingHosts();
    const allowances = new Map<string, number>();
    return ({ target, load }) => {
      const free = target.slots - reserve - load.online - load.batch;
      const allowance =
        allowances.get(target.id) ??
        this.slotAllocator.calculateAllowance(
          { target: target.id, free, ...hostsOf(target.failureDomain) },
          now,
        );
      allowances.set(target.id, allowance);
      return allowance - (taken.get(target.id) ?? 0);
    };
  }

  /** Groups the hosts with waiting items by whether they stand in a failure domain. */
  private groupWaitingHosts(): (
    failureDomain: string,
  ) => Pick<FreeSlots, 'localHosts' | 'remoteHosts'> {
    const { identity, loads, members } = this.dependencies;
    const hosts = [
      { name: identity.name, failureDomain: identity.failureDomain },
      ...members.peers.filter(({ name }) => loads.hostsWithWaitingItems.has(name)),
    ];
    const namesOf = (group: typeof hosts): string[] => group.map(({ name }) => name);
    const groups = new Map<string, Pick<FreeSlots, 'localHosts' | 'remoteHosts'>>();
    return (failureDomain) => {
      const known = groups.get(failureDomain);
      if (known) return known;
      const group = {
        localHosts: namesOf(hosts.filter((host) => host.failureDomain === failureDomain)),
        remoteHosts: namesOf(hosts.filter((host) => host.failureDomain !== failureDomain)),
      };
      groups.set(failureDomain, group);
      return group;
    };
  }

  /** Looks again when the next turn comes. */
  private planNextAllocation(now: number): void {
    const nextIn = this.slotAllocator.timeToNextAllocation(now);
    if (nextIn === undefined) return;
    clearTimeout(this.allocationTimer);
    this.allocationTimer = setTimeout(() => this.wake(), nextIn);
  }

  private async runItem(job: HeldJob, task: ItemTask, target: Target): Promise<void> {
    const { loads, health } = this.dependencies;
    const controller = new AbortController();
    const startedAt = performance.now();
    const sizeBefore = task.response.resumableEventCount;
    Object.assign(task, { run: { target, controller, startedAt } });
    const endLoad = loads.beginRequest(target.id, 'batch');
    const end = await this.send(job, task, target, controller.signal);
    endLoad();
    const state = task.finishRun(end, sizeBefore, performance.now());
    this.paceEstimator.recordRun(
      task.response.eventCount - sizeBefore,
      performance.now() - startedAt,
    );
    if (state === 'completed')
      this.paceEstimator.recordCompletedItem(task.item.tokens, task.response.eventCount);
    if (isTargetFault(end)) health.recordFailure(target.id, end.cause);
    this.dependencies.metrics.observe('items.run', performance.now() - startedAt);
    this.dependencies.journal.record('item-run-ended', {
      request: task.item.id,
      job: job.record.id,
      target: target.id,
      kind: end.kind,
      ...('status' in end && { status: end.status }),
      ...('cause' in end && { cause: end.cause }),
      ...(controller.signal.aborted && { cause: String(controller.signal.reason) }),
      events: task.response.eventCount,
      tookMs: Math.round(performance.now() - startedAt),
      state,
    });
    if (state && job.tasks.has(task.index)) this.finish(job, task, state, end.kind);
    this.wake();
  }

  private send(
    job: HeldJob,
    task: ItemTask,
    target: Target,
    signal: AbortSignal,
  ): Promise<AttemptOutcome> {
    const { client, dialect, health } = this.dependencies;
    const { item, response: answer } = task;
    const { host, account } = job.record;
    const rawHeaders = ['Host', host, ...Object.entries(item.headers).flat()];
    return runAttempt({
      client,
      dialect,
      target,
      requestId: item.id,
      request: {
        method: 'POST',
        path: item.path,
        headers: dialect.buildItemHeaders(rawHeaders, item.id, {
          target,
          account,
          remainingMs: RUN_TIMEOUT_MS,
          resumeAfter: answer.lastEventId,
        }),
        body: Buffer.from(item.body, 'base64'),
      },
      sink: answer,
      signal,
      headTimeoutMs: FIRST_EVENT_TIMEOUT_MS,
      bodyIdleTimeoutMs: IDLE_TIMEOUT_MS,
      onIdleTimeout: () => {
        health.recordFailure(target.id, 'silent');
        return true;
      },
      maxResponseBytes: MAX_RESPONSE_BYTES,
      // An item may be impossible at every target, so its failures say nothing about the target.
      onResponse: () => health.recordSuccess(target.id),
      onDraining: () => this.dependencies.departures.add(target),
      // Only the status of other answers counts.
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
