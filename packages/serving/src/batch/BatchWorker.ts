/** Runs the items of the jobs that this host holds where online requests leave room. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { rendezvousOrder } from '@jacinthlug/control/peers/rendezvous';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { Members } from '../fleet/Members.js';
import { spreadMs } from '../fleet/reportIntervals.js';
import type { Target } from '../fleet/Target.js';
import type { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import type { TargetClient } from '../http/TargetClient.js';
import { sendOnce, type AttemptEnd } from '../online/sendOnce.js';
import { BatchTurns } from '../routing/BatchTurns.js';
import type { Candidate } from '../routing/chooseTarget.js';
import type { LoadBook } from '../routing/LoadBook.js';
import type { TargetHealth } from '../routing/TargetHealth.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import { HeldJob } from './HeldJob.js';
import type { ItemTask } from './ItemTask.js';
import { orderItems, remainingMs } from './orderItems.js';
import { PaceMeter } from './PaceMeter.js';
import type { JobBook, KnownJob } from './JobBook.js';
import { isOpen } from './JobRecord.js';
import type { JobStore } from './JobStore.js';

/**
 * Slots of each target that are kept free for online requests, so that a chat finds one at once, unless
 * an item needs it to be on time.
 */
const RESERVED_SLOTS = { relaxed: 1, urgent: 0 } as const;

/** Time to spare below which an item is urgent: about the length of one peak of traffic. Unit: ms. */
const URGENT_WITHIN_MS = 4000;

/** How often jobs of lost hosts and outdated jobs are looked for. Unit: ms. */
const SURVEY_MS = 500;

/** Silence of a target before the first event of an item, which may wait there. Unit: ms. */
const FIRST_SILENCE_MS = 4000;

/** Silence of a target between the events of an item. Unit: ms. */
const NEXT_SILENCE_MS = 1500;

/** Contact with the store above which results could not be listed, so that no item is started. Unit: ms. */
const STORE_WITHIN_MS = 3500;

/** Time that a run may take; targets drop requests whose time is up. Unit: ms. */
const RUN_LIMIT_MS = 60_000;

/** What the worker needs. */
export interface BatchWorkerNeeds {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly members: Members;
  readonly targets: TargetList;
  readonly router: TargetRouter;
  readonly loads: LoadBook;
  readonly health: TargetHealth;
  readonly client: TargetClient;
  readonly dialect: Dialect;
  readonly book: JobBook;
  readonly jobs: JobStore;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** How long a job is kept after its acceptance. Unit: ms. */
  readonly keepMs: number;
  /** Age of the contact with the store. Unit: ms. */
  readonly storeAge: () => number;
}

interface WaitingItem {
  readonly job: HeldJob;
  readonly task: ItemTask;
}

/** Runs batch items. */
export class BatchWorker {
  private readonly held = new Map<string, HeldJob>();

  private readonly loading = new Set<string>();

  private readonly turns: BatchTurns;

  private readonly meter = new PaceMeter();

  private turnTimer: NodeJS.Timeout | undefined;

  private stopping = false;

  private pumpPlanned = false;

  private surveyTimer: NodeJS.Timeout | undefined;

  constructor(private readonly needs: BatchWorkerNeeds) {
    this.turns = new BatchTurns(needs.identity.name);
    needs.book.onChange((job) => this.takeJob(job));
    needs.targets.onChange(() => this.wake());
  }

  /** Starts looking for work. */
  start(): void {
    this.surveyTimer = setInterval(() => this.survey(), SURVEY_MS);
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

  /** Cancels the runs and gives the jobs back, so that other hosts run them. */
  async stop(): Promise<void> {
    this.stopping = true;
    clearInterval(this.surveyTimer);
    clearTimeout(this.turnTimer);
    const jobs = [...this.held.values()];
    jobs.forEach((job) => job.cancelRuns());
    await Promise.all(
      jobs
        .filter(({ isHeld }) => isHeld)
        .map(({ record }) =>
          this.needs.jobs.change(record.account, record.id, (present) =>
            this.isOwn(present.holder) ? { ...present, holder: null } : undefined,
          ),
        ),
    );
  }

  /** Looks at once whether items can start or must make room, after a change of loads or targets. */
  wake(): void {
    if (this.pumpPlanned) return;
    this.pumpPlanned = true;
    setImmediate(() => {
      this.pumpPlanned = false;
      this.makeRoom();
      this.startItems();
    });
  }

  private isOwn(holder: readonly [string, number] | null): boolean {
    const { identity } = this.needs;
    return holder?.[0] === identity.name && holder[1] === identity.incarnation;
  }

  private takeJob(job: KnownJob): void {
    const { record } = job;
    const held = this.held.get(record.id);
    if (held) {
      held.take(job);
      if (!held.isHeld) this.held.delete(record.id);
      return;
    }
    if (isOpen(record) && this.isOwn(record.holder)) void this.open(job);
  }

  private async open(job: KnownJob): Promise<void> {
    const { jobs, view, identity, journal } = this.needs;
    const { id, input, route: routeName, account } = job.record;
    const route = view.directory?.routeNamed(routeName);
    if (this.loading.has(id) || this.stopping || !route) return;
    this.loading.add(id);
    const items = await jobs.loadInput(input);
    this.loading.delete(id);
    const newest = this.needs.book.find(account, id);
    if (items.isErr() || !newest || this.held.has(id)) return;
    const holder = [identity.name, identity.incarnation] as const;
    const held = new HeldJob(newest, route, items.value, { jobs, journal, holder });
    if (!held.isHeld) return;
    this.held.set(id, held);
    this.wake();
  }

  /** Opens own jobs, takes over those of lost hosts, gives up what is outdated. */
  private survey(): void {
    const { book, members } = this.needs;
    if (this.needs.storeAge() > STORE_WITHIN_MS) return;
    const atWork = members.atWork();
    book.all().forEach((job) => {
      const { record } = job;
      if (isOpen(record)) {
        if (this.isOwn(record.holder)) this.takeJob(job);
        else if (this.isNext(record.holder, record.id, atWork)) void this.takeOver(job);
      }
      this.removeOld(job, atWork);
    });
    this.held.forEach((job) => this.giveUpOutdated(job));
    this.wake();
  }

  /** Whether the holder is lost and this host is the one that takes over. */
  private isNext(
    holder: readonly [string, number] | null,
    id: string,
    atWork: readonly string[],
  ): boolean {
    const { members, identity } = this.needs;
    if (holder && members.isAtWork(holder[0], holder[1])) return false;
    return rendezvousOrder(id, atWork)[0] === identity.name;
  }

  private async takeOver({ record }: KnownJob): Promise<void> {
    const { jobs, identity, journal, members } = this.needs;
    if (this.loading.has(record.id)) return;
    this.loading.add(record.id);
    const changed = await jobs.change(record.account, record.id, (present) => {
      const { holder } = present;
      if (!isOpen(present) || (holder && members.isAtWork(holder[0], holder[1]))) return undefined;
      return { ...present, holder: [identity.name, identity.incarnation] };
    });
    this.loading.delete(record.id);
    journal.record('job-taken-over', {
      job: record.id,
      from: record.holder,
      outcome: changed.isOk() ? 'settled' : changed.error.kind,
    });
    if (changed.isOk() && changed.value) this.takeJob(changed.value);
  }

  private removeOld(job: KnownJob, atWork: readonly string[]): void {
    const { jobs, identity, keepMs } = this.needs;
    const { record } = job;
    if (isOpen(record) || Date.now() - record.submittedAt < keepMs) return;
    if (this.loading.has(record.id) || rendezvousOrder(record.id, atWork)[0] !== identity.name)
      return;
    this.loading.add(record.id);
    void jobs.remove(job).finally(() => this.loading.delete(record.id));
  }

  private giveUpOutdated(job: HeldJob): void {
    if (Date.now() - job.record.submittedAt < job.route.retentionMs) return;
    [...job.tasks.values()].forEach((task) => {
      task.run?.controller.abort('outdated');
      this.finish(job, task, 'dead-lettered', 'retention');
    });
  }

  /** Cancels items where online requests find no slot, the youngest first. */
  private makeRoom(): void {
    const { router, targets, loads, metrics } = this.needs;
    loads.ownLoads().forEach(([id, , batch]) => {
      const target = batch > 0 ? targets.find(id) : undefined;
      if (!target) return;
      const excess = router.excessOn(target);
      if (excess === 0) return;
      this.turns.yield(id, performance.now());
      const runs = this.runsOn(id).sort(
        (a, b) => (b.task.run?.startedAt ?? 0) - (a.task.run?.startedAt ?? 0),
      );
      runs.slice(0, excess).forEach(({ task }) => {
        metrics.count('batch.preempted');
        task.run?.controller.abort('preempted');
      });
    });
  }

  private runsOn(target: string): WaitingItem[] {
    return this.allItems().filter(({ task }) => task.run?.target.id === target);
  }

  private allItems(): WaitingItem[] {
    return [...this.held.values()].flatMap((job) =>
      [...job.tasks.values()].map((task) => ({ job, task })),
    );
  }

  private startItems(): void {
    const { router, view, members, identity } = this.needs;
    if (this.stopping || this.needs.storeAge() > STORE_WITHIN_MS) return;
    const now = performance.now();
    const waiting = this.allItems()
      .filter(({ job, task }) => job.isHeld && task.isWaiting(now))
      .map(({ job, task }) => ({
        job,
        task,
        due: job.due,
        index: task.index,
        tokens: task.item.tokens,
        events: task.answer.size,
      }));
    const taken = new Map<string, number>();
    const allowances = {
      relaxed: this.createAllowances(now, RESERVED_SLOTS.relaxed, taken),
      urgent: this.createAllowances(now, RESERVED_SLOTS.urgent, taken),
    };
    orderItems(waiting, this.meter.pace, now).forEach((item) => {
      const { job, task } = item;
      const route = view.directory?.routeNamed(job.route.name);
      const service = route?.services[0]?.service;
      if (service === undefined) return;
      const spareMs = item.due - now - remainingMs(item, this.meter.pace);
      const urgency = spareMs < URGENT_WITHIN_MS ? 'urgent' : 'relaxed';
      const target = router.chooseForBatch(service, allowances[urgency]);
      if (!target) return;
      taken.set(target.id, (taken.get(target.id) ?? 0) + 1);
      void this.runItem(job, task, target);
    });
    const spread = spreadMs(members.peers, identity.failureDomain);
    taken.forEach((_, id) => this.turns.take(id, now, spread));
    this.planTurn(waiting.length > 0, now);
  }

  /** Gives the slots of targets that this host may take in this round, less those already taken. */
  private createAllowances(
    now: number,
    reserve: number,
    taken: ReadonlyMap<string, number>,
  ): (candidate: Candidate) => number {
    const { identity, loads } = this.needs;
    const waitingHosts = [identity.name, ...loads.hostsWithWaitingItems()];
    const allowances = new Map<string, number>();
    return ({ target, load }) => {
      const free = target.slots - reserve - load.online - load.batch;
      const allowance =
        allowances.get(target.id) ??
        this.turns.allowance({ target: target.id, free, waitingHosts }, now);
      allowances.set(target.id, allowance);
      return allowance - (taken.get(target.id) ?? 0);
    };
  }

  /** Looks again when the next turn comes. */
  private planTurn(hasWaiting: boolean, now: number): void {
    const nextIn = this.turns.nextIn(now);
    if (!hasWaiting || nextIn === undefined) return;
    clearTimeout(this.turnTimer);
    this.turnTimer = setTimeout(() => this.wake(), nextIn);
  }

  private async runItem(job: HeldJob, task: ItemTask, target: Target): Promise<void> {
    const { loads, health } = this.needs;
    const controller = new AbortController();
    const startedAt = performance.now();
    const sizeBefore = task.answer.size;
    Object.assign(task, { run: { target, controller, startedAt } });
    const endLoad = loads.begin(target.id, 'batch');
    const end = await this.send(job, task, target, controller.signal);
    endLoad();
    const state = task.finishRun(end, sizeBefore, performance.now());
    if (state === 'completed' && sizeBefore === 0) {
      this.meter.finish(task.item.tokens, task.answer.size, performance.now() - startedAt);
    }
    if (end.kind === 'broken' || (end.kind === 'not-run' && end.unreachable)) {
      health.fail(target.id, end.cause);
    }
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
      onSign: () => health.succeed(target.id),
    });
  }

  private finish(
    job: HeldJob,
    task: ItemTask,
    state: 'completed' | 'dead-lettered',
    cause: string,
  ): void {
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
