/** Runs the items of the jobs that this host holds where online requests leave room. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type { Departures } from '../fleet/Departures.js';
import { STORE_WITHIN_MS } from '../fleet/Members.js';
import { spreadMs } from '../fleet/reportPlan.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import type { TargetClient } from '../http/TargetClient.js';
import { isTargetFault, sendOnce, type AttemptEnd } from '../online/sendOnce.js';
import { BatchTurns, type FreeSlots } from '../routing/BatchTurns.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { LoadBook } from '../routing/LoadBook.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { HeldJob } from './HeldJob.js';
import { HeldJobs, type HeldJobsNeeds } from './HeldJobs.js';
import { LARGEST_OUTPUT } from './ItemAnswer.js';
import type { ItemState } from './JobRecord.js';
import type { ItemTask } from './ItemTask.js';
import { orderItems, remainingMs, type OrderedItem } from './orderItems.js';
import { orderForPreemption } from './orderForPreemption.js';
import { PaceMeter } from './PaceMeter.js';

/**
 * Slots of each target that are kept free for online requests, so that a chat finds one at once, unless
 * an item needs it to be on time.
 */
const RESERVED_SLOTS = { relaxed: 1, urgent: 0 } as const;

/** Time to spare below which an item is urgent: about the length of one peak of traffic. Unit: ms. */
const URGENT_WITHIN_MS = 4000;

/** Silence of a target before the first event of an item, which may wait there. Unit: ms. */
const FIRST_SILENCE_MS = 4000;

/** Silence of a target between the events of an item. Unit: ms. */
const NEXT_SILENCE_MS = 1500;

/** Time that a run may take; targets drop requests whose time is up. Unit: ms. */
const RUN_LIMIT_MS = 60_000;

/** Largest answer to a run: the largest output with as many bytes around it. Unit: bytes. */
const ANSWER_BYTES = 2 * LARGEST_OUTPUT;

/** Status of an answer that carries output. */
const COMPLETED_STATUS = 200;

/** How long reports of other hosts are collected before items start or make room. Unit: ms. */
const REPORTS_COLLECT_MS = 40;

/** What the worker needs. */
export interface BatchWorkerNeeds extends Omit<HeldJobsNeeds, 'onOpened' | 'onOutdated'> {
  readonly targets: TargetList;
  readonly router: TargetRouter;
  readonly loads: LoadBook;
  readonly health: TargetHealth;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly metrics: Metrics;
  readonly departures: Departures;
}

interface WaitingItem {
  readonly job: HeldJob;
  readonly task: ItemTask;
}

/** Adds what the order of items depends on. */
const describeItems = (items: readonly WaitingItem[]): (WaitingItem & OrderedItem)[] =>
  items.map(({ job, task }) => ({
    job,
    task,
    due: job.due,
    index: task.index,
    tokens: task.item.tokens,
    events: task.answer.size,
  }));

/** Runs batch items. */
export class BatchWorker {
  private readonly held: HeldJobs;

  private readonly turns: BatchTurns;

  private readonly meter = new PaceMeter();

  private turnTimer: NodeJS.Timeout | undefined;

  private soonTimer: NodeJS.Timeout | undefined;

  private stopping = false;

  private pumpPlanned = false;

  constructor(private readonly needs: BatchWorkerNeeds) {
    this.turns = new BatchTurns(needs.identity.name);
    this.held = new HeldJobs({
      ...needs,
      onOpened: () => this.wake(),
      onOutdated: (job) => this.giveUp(job),
    });
    needs.targets.onChange(() => this.wake());
  }

  /** Starts looking for work. */
  start(): void {
    this.held.start();
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
    clearTimeout(this.turnTimer);
    clearTimeout(this.soonTimer);
    await this.held.stop(deadline);
  }

  /** Looks at once whether items can start or must make room, after a change of own loads or of targets. */
  wake(): void {
    if (this.pumpPlanned || this.held.isIdle) return;
    this.pumpPlanned = true;
    setImmediate(() => {
      this.pumpPlanned = false;
      this.pump();
    });
  }

  /** Looks soon, after a report of another host: reports come by the hundred a second. */
  wakeSoon(): void {
    if (this.soonTimer || this.held.isIdle) return;
    this.soonTimer = setTimeout(() => {
      this.soonTimer = undefined;
      this.pump();
    }, REPORTS_COLLECT_MS);
  }

  /**
   * Tells whether a report says that online requests wait for a slot that an item of this host has.
   *
   * @param report - newest report of another host, which the loads contain
   * @returns whether items must leave
   */
  mustMakeRoom({ loads: reported }: LoadReport): boolean {
    const { loads, targets, router } = this.needs;
    return reported.some(([id]) => {
      const target = loads.ownLoad(id).batch > 0 ? targets.find(id) : undefined;
      return target !== undefined && router.excessOn(target) > 0;
    });
  }

  private pump(): void {
    this.makeRoom();
    this.startItems();
  }

  /** Ends the items of a job that nobody waits for any more. */
  private giveUp(job: HeldJob): void {
    [...job.tasks.values()].forEach((task) => {
      task.run?.controller.abort('outdated');
      this.finish(job, task, 'dead-lettered', 'retention');
    });
  }

  /** Cancels items where online requests find no slot. */
  private makeRoom(): void {
    const { router, targets, loads, metrics } = this.needs;
    loads.ownLoads().forEach(([id, , batch]) => {
      const target = batch > 0 ? targets.find(id) : undefined;
      if (!target) return;
      const excess = router.excessOn(target);
      if (excess === 0) return;
      this.turns.yield(id, performance.now());
      const runs = describeItems(this.runsOn(id));
      orderForPreemption(runs, this.meter.pace, performance.now())
        .slice(0, excess)
        .forEach(({ task }) => {
          metrics.count('batch.preempted');
          task.run?.controller.abort('preempted');
        });
    });
  }

  private runsOn(target: string): WaitingItem[] {
    return this.allItems().filter(({ task }) => task.run?.target.id === target);
  }

  private allItems(): WaitingItem[] {
    return this.held.all().flatMap((job) => [...job.tasks.values()].map((task) => ({ job, task })));
  }

  private startItems(): void {
    const { router, view, members, targets, identity } = this.needs;
    if (this.stopping || this.needs.storeAge() > STORE_WITHIN_MS) return;
    const now = performance.now();
    const waiting = describeItems(
      this.allItems().filter(({ job, task }) => job.isHeld && task.isWaiting(now)),
    );
    if (waiting.length === 0) return;
    const taken = new Map<string, number>();
    /** Services and urgencies without a slot: the other items of the same kind need not look for one. */
    const withoutSlot = new Set<string>();
    const allowances = {
      relaxed: this.createAllowances(now, RESERVED_SLOTS.relaxed, taken),
      urgent: this.createAllowances(now, RESERVED_SLOTS.urgent, taken),
    };
    orderItems(waiting, this.meter.pace, now).forEach((item) => {
      const { job, task } = item;
      const route = view.directory?.routeNamed(job.record.route);
      const service = route?.services[0]?.service;
      if (service === undefined) return;
      const spareMs = item.due - now - remainingMs(item, this.meter.pace);
      const urgency = spareMs < URGENT_WITHIN_MS ? 'urgent' : 'relaxed';
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
      this.turns.take(id, now, spreadMs(members.size, isNear));
    });
    this.planTurn(now);
  }

  /** Gives the slots of targets that this host may take in this round, less those already taken. */
  private createAllowances(
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
        this.turns.allowance({ target: target.id, free, ...hostsOf(target.failureDomain) }, now);
      allowances.set(target.id, allowance);
      return allowance - (taken.get(target.id) ?? 0);
    };
  }

  /** Groups the hosts with waiting items by whether they stand in a failure domain. */
  private groupWaitingHosts(): (
    failureDomain: string,
  ) => Pick<FreeSlots, 'nearHosts' | 'farHosts'> {
    const { identity, loads, members } = this.needs;
    const hosts = [
      { name: identity.name, failureDomain: identity.failureDomain },
      ...members.peers.filter(({ name }) => loads.hostsWithWaitingItems.has(name)),
    ];
    const namesOf = (group: typeof hosts): string[] => group.map(({ name }) => name);
    const groups = new Map<string, Pick<FreeSlots, 'nearHosts' | 'farHosts'>>();
    return (failureDomain) => {
      const known = groups.get(failureDomain);
      if (known) return known;
      const group = {
        nearHosts: namesOf(hosts.filter((host) => host.failureDomain === failureDomain)),
        farHosts: namesOf(hosts.filter((host) => host.failureDomain !== failureDomain)),
      };
      groups.set(failureDomain, group);
      return group;
    };
  }

  /** Looks again when the next turn comes. */
  private planTurn(now: number): void {
    const nextIn = this.turns.nextIn(now);
    if (nextIn === undefined) return;
    clearTimeout(this.turnTimer);
    this.turnTimer = setTimeout(() => this.wake(), nextIn);
  }

  private async runItem(job: HeldJob, task: ItemTask, target: Target): Promise<void> {
    const { loads, health } = this.needs;
    const controller = new AbortController();
    const startedAt = performance.now();
    const sizeBefore = task.answer.resumableSize;
    Object.assign(task, { run: { target, controller, startedAt } });
    const endLoad = loads.begin(target.id, 'batch');
    const end = await this.send(job, task, target, controller.signal);
    endLoad();
    const state = task.finishRun(end, sizeBefore, performance.now());
    this.meter.addRun(task.answer.size - sizeBefore, performance.now() - startedAt);
    if (state === 'completed') this.meter.addItem(task.item.tokens, task.answer.size);
    if (isTargetFault(end)) health.fail(target.id, end.cause);
    this.needs.metrics.observe('items.run', performance.now() - startedAt);
    this.needs.journal.record('item-run-ended', {
      request: task.item.id,
      job: job.record.id,
      target: target.id,
      kind: end.kind,
      ...('status' in end && { status: end.status }),
      ...('cause' in end && { cause: end.cause }),
      ...(controller.signal.aborted && { cause: String(controller.signal.reason) }),
      events: task.answer.size,
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
  ): Promise<AttemptEnd> {
    const { client, dialect, health } = this.needs;
    const { item, answer } = task;
    const { host, account } = job.record;
    const rawHeaders = ['Host', host, ...Object.entries(item.headers).flat()];
    return sendOnce({
      client,
      dialect,
      target,
      requestId: item.id,
      request: {
        method: 'POST',
        path: item.path,
        headers: dialect.itemHeaders(rawHeaders, item.id, {
          target,
          account,
          leftMs: RUN_LIMIT_MS,
          resumeAfter: answer.lastEventId,
        }),
        body: Buffer.from(item.body, 'base64'),
      },
      answer,
      signal,
      firstSilenceMs: FIRST_SILENCE_MS,
      nextSilenceMs: NEXT_SILENCE_MS,
      onSilence: () => {
        health.fail(target.id, 'silent');
        return true;
      },
      answerBytes: ANSWER_BYTES,
      // An item may be impossible at every target, so its failures say nothing about the target.
      onSign: () => health.succeed(target.id),
      onLeaving: () => this.needs.departures.add(target),
      // Only the status of other answers counts.
      isFailure: (status) => status !== COMPLETED_STATUS,
    });
  }

  private finish(job: HeldJob, task: ItemTask, state: ItemState, cause: string): void {
    this.needs.metrics.count('batch.items', { outcome: state });
    this.needs.journal.record('item-finished', {
      request: task.item.id,
      job: job.record.id,
      state,
      cause,
      failures: task.failures,
    });
    job.finish(task, state);
  }
}
