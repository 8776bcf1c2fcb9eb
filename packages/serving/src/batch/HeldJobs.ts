/** The jobs that this host holds: opened at acceptance, taken over from lost hosts, given back at a stop. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { ok } from 'neverthrow';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { STORE_CONTACT_TIMEOUT_MS, type Members } from '../fleet/Members.js';
import { ranksFirst } from '../fleet/rendezvousHash.js';
import { HeldJob, type JobPolicy } from './HeldJob.js';
import type { JobCache, VersionedJob } from './JobCache.js';
import { isOpen, type ItemOutput, type JobRecord } from './JobRecord.js';
import type { JobStore } from './JobStore.js';
import type { ProgressStore } from './ProgressStore.js';

/** How often jobs of lost hosts and outdated jobs are looked for. Unit: ms. */
const SCAN_INTERVAL_MS = 500;

/** Terms of jobs whose route was removed: their items are given up at once. */
const REMOVED_ROUTE_POLICY: JobPolicy = { attempts: 1, completionTargetMs: 0, retentionMs: 0 };

/** What holding jobs needs. */
export interface HeldJobsDependencies {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly members: Members;
  readonly jobCache: JobCache;
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
  readonly journal: Journal;
  /** How long a job is kept after its acceptance. Unit: ms. */
  readonly jobRetentionMs: number;
  /** Age of the contact with the store. Unit: ms. */
  readonly storeAge: () => number;
  /** How long ago the store came back; infinite when it never failed. Unit: ms. */
  readonly sinceStoreReturn: () => number;
  /** Called when items may have come. */
  readonly onOpened: () => void;
  /** Called with a job whose items nobody waits for any more. */
  readonly onOutdated: (job: HeldJob) => void;
}

/** Keeps the jobs of this host. */
export class HeldJobs {
  private readonly heldJobs = new Map<string, HeldJob>();

  /** Ids of held jobs that other processes had before. */
  private readonly takenOver = new Set<string>();

  /** Jobs with a call to the store in progress. */
  private readonly pendingStoreCalls = new Set<string>();

  private stopping = false;

  private scanTimer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: HeldJobsDependencies) {
    dependencies.jobCache.onChange((job) => this.applyJob(job));
  }

  /** Starts looking for jobs. */
  start(): void {
    this.scanTimer = setInterval(() => this.scan(), SCAN_INTERVAL_MS);
  }

  /**
   * Cancels the runs and gives the jobs back with what they have put out, so that other hosts go on.
   *
   * @param deadline - monotonic time until which a store that does not answer is waited for. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    this.stopping = true;
    clearInterval(this.scanTimer);
    const jobs = this.all();
    await Promise.all(
      jobs
        .filter(({ isHeld }) => isHeld)
        .map(async (job) => {
          await job.handOver(deadline);
          await this.release(job.record);
        }),
    );
  }

  /**
   * Lists the jobs.
   *
   * @returns jobs in the hands of this host
   */
  all(): HeldJob[] {
    return [...this.heldJobs.values()];
  }

  /**
   * Tells whether there is nothing to run.
   *
   * @returns whether this host has no job
   */
  get isIdle(): boolean {
    return this.heldJobs.size === 0;
  }

  /** Terms of a job by its route; nothing while it is unknown whether the route still exists. */
  private policyOf(route: string): JobPolicy | undefined {
    const { view } = this.dependencies;
    return (
      view.directory?.findRouteByName(route) ?? (view.isCurrent ? REMOVED_ROUTE_POLICY : undefined)
    );
  }

  private isThisProcess(holder: readonly [string, number] | null): boolean {
    const { identity } = this.dependencies;
    return holder?.[0] === identity.name && holder[1] === identity.incarnation;
  }

  private applyJob(job: VersionedJob): void {
    const { record } = job;
    const held = this.heldJobs.get(record.id);
    if (held) {
      held.applyState(job);
      if (!held.isHeld) {
        this.heldJobs.delete(record.id);
        this.takenOver.delete(record.id);
      }
      return;
    }
    if (isOpen(record) && this.isThisProcess(record.holder)) void this.openJob(job);
  }

  /** Lets any host take a job that this one does not run. */
  private async release({ account, id }: JobRecord): Promise<void> {
    await this.dependencies.jobs.update(account, id, (present) =>
      this.isThisProcess(present.holder) ? { ...present, holder: null } : undefined,
    );
  }

  private async openJob(job: VersionedJob): Promise<void> {
    const { jobs, progress, identity, journal } = this.dependencies;
    const { id, input, route: routeName, account } = job.record;
    const route = this.policyOf(routeName);
    if (this.pendingStoreCalls.has(id) || !route) return;
    this.pendingStoreCalls.add(id);
    if (this.stopping) {
      // Another host has named this one before it knew of the stop.
      await this.release(job.record);
      this.pendingStoreCalls.delete(id);
      return;
    }
    const items = await jobs.loadInput(input);
    // A job that this process accepted has run nowhere else.
    const outputs = this.takenOver.has(id)
      ? await progress.load(job.record)
      : ok(new Map<number, ItemOutput>());
    this.pendingStoreCalls.delete(id);
    const newest = this.dependencies.jobCache.find(account, id);
    if (this.stopping) {
      await this.release(job.record);
      return;
    }
    if (items.isErr() || outputs.isErr() || !newest || this.heldJobs.has(id)) return;
    const holder = [identity.name, identity.incarnation] as const;
    const held = new HeldJob(newest, route, items.value, { jobs, progress, journal, holder });
    if (!held.isHeld) return;
    held.resume(outputs.value);
    journal.record('job-opened', {
      job: id,
      items: held.tasks.size,
      resumed: outputs.value.size,
      ageMs: Math.round(jobs.ageOf(job.record)),
    });
    this.heldJobs.set(id, held);
    this.dependencies.onOpened();
  }

  /** Opens own jobs, takes over those of lost hosts, gives up what is outdated. */
  private scan(): void {
    const { jobCache: book, jobs, members } = this.dependencies;
    if (this.dependencies.storeAge() > STORE_CONTACT_TIMEOUT_MS) return;
    const atWork = members.listWorkers();
    book.all().forEach((job) => {
      const { record } = job;
      if (isOpen(record)) {
        if (this.isThisProcess(record.holder)) this.applyJob(job);
        else if (this.shouldTakeOver(record.holder, record.id, atWork)) void this.takeOver(job);
      }
      this.removeExpired(job, atWork);
    });
    this.heldJobs.forEach((job) => {
      job.saveProgress();
      const terms = this.policyOf(job.record.route) ?? job.policy;
      if (jobs.ageOf(job.record) >= terms.retentionMs) this.dependencies.onOutdated(job);
    });
    this.dependencies.onOpened();
  }

  /** Whether the holder is lost and this host is the one that takes over. */
  private shouldTakeOver(
    holder: readonly [string, number] | null,
    id: string,
    atWork: readonly string[],
  ): boolean {
    return this.hasNoLiveHolder(holder) && this.isResponsible(id, atWork);
  }

  /** Whether this host is the one of those at work that a job falls to. */
  private isResponsible(id: string, atWork: readonly string[]): boolean {
    const { name } = this.dependencies.identity;
    return atWork.includes(name) && ranksFirst(id, name, atWork);
  }

  /** Whether nobody works on a job any more. */
  private hasNoLiveHolder(holder: readonly [string, number] | null): boolean {
    if (!holder) return true;
    const { members, sinceStoreReturn } = this.dependencies;
    // Monotonic time counts from the start of the process.
    const own = { storeRegainedMsAgo: sinceStoreReturn(), upMs: performance.now() };
    return members.hasFailed(holder[0], holder[1], own);
  }

  private async takeOver({ record }: VersionedJob): Promise<void> {
    const { jobs, identity, journal } = this.dependencies;
    if (this.pendingStoreCalls.has(record.id)) return;
    this.pendingStoreCalls.add(record.id);
    // Set before the write, which may take effect although its answer is lost.
    this.takenOver.add(record.id);
    const changed = await jobs.update(record.account, record.id, (present) => {
      if (!isOpen(present) || !this.hasNoLiveHolder(present.holder)) return undefined;
      return { ...present, holder: [identity.name, identity.incarnation] };
    });
    this.pendingStoreCalls.delete(record.id);
    journal.record('job-taken-over', {
      job: record.id,
      from: record.holder,
      outcome: changed.isOk() ? 'settled' : changed.error.kind,
    });
    if (changed.isOk() && changed.value) this.applyJob(changed.value);
  }

  private removeExpired(job: VersionedJob, atWork: readonly string[]): void {
    const { jobs, jobRetentionMs: keepMs } = this.dependencies;
    const { record } = job;
    if (isOpen(record) || jobs.ageOf(record) < keepMs) return;
    if (this.pendingStoreCalls.has(record.id) || !this.isResponsible(record.id, atWork)) return;
    this.pendingStoreCalls.add(record.id);
    void jobs.remove(job).finally(() => this.pendingStoreCalls.delete(record.id));
  }
}
