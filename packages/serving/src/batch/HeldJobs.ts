/** The jobs that this host holds: opened after acceptance, taken over from failed hosts, released on shutdown. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { ok } from 'neverthrow';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { STORE_CONTACT_TIMEOUT_MS, type Members } from '../fleet/Members.js';
import { ranksFirst } from '../fleet/rendezvousHash.js';
import { HeldJob, type JobPolicy } from './HeldJob.js';
import type { JobCache, VersionedJob } from './JobCache.js';
import { identifyJob, isOpen, type ItemOutput, type JobRecord } from './JobRecord.js';
import type { JobStore } from './JobStore.js';
import type { ProgressStore } from './ProgressStore.js';

/** Interval of the scan for jobs of failed hosts and for expired jobs. Unit: ms. */
const SCAN_INTERVAL_MS = 500;

/** Policy of jobs whose route was removed: their items are dead-lettered immediately. */
const REMOVED_ROUTE_POLICY: JobPolicy = { attempts: 1, completionTargetMs: 0, retentionMs: 0 };

/** Dependencies of {@link HeldJobs}. */
export interface HeldJobsDependencies {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly members: Members;
  readonly jobCache: JobCache;
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
  readonly journal: Journal;
  /** Returns a function that checks whether hosts of a failure domain may take over a job; undefined if all may. */
  readonly findHolderFilter: (job: JobRecord) => ((failureDomain: string) => boolean) | undefined;
  /** Minimum age, counted from acceptance, at which a job that is no longer open is removed. Unit: ms. */
  readonly jobRetentionMs: number;
  /** Returns the time since the last contact with the store. Unit: ms. */
  readonly timeSinceStoreContact: () => number;
  /** Returns the time since the store last recovered; infinite if it never failed. Unit: ms. */
  readonly timeSinceStoreRecovery: () => number;
  /** Called when there may be new items to run. */
  readonly onItemsAvailable: () => void;
  /** Called with an open job whose retention time has passed, so that its unfinished items are no longer run. */
  readonly onExpired: (job: HeldJob) => void;
}

/** Opens, takes over and releases jobs. */
export class HeldJobs {
  /** By the texts that identify the jobs, like the following ones. */
  private readonly heldJobs = new Map<string, HeldJob>();

  /** Jobs that another process may have held before. */
  private readonly takenOver = new Set<string>();

  /** Jobs with a call to the store in progress. */
  private readonly pendingStoreCalls = new Set<string>();

  private stopping = false;

  private scanTimer: NodeJS.Timeout | undefined;

  constructor(private readonly dependencies: HeldJobsDependencies) {
    dependencies.jobCache.onChange((job) => this.applyJob(job));
  }

  /** Starts the periodic scan. */
  start(): void {
    this.scanTimer = setInterval(() => this.scan(), SCAN_INTERVAL_MS);
  }

  /**
   * Cancels all runs, saves their output and releases the jobs, so that other hosts continue them.
   *
   * @param deadline - monotonic time after which an unresponsive store is no longer waited for. Unit: ms
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
   * Lists the jobs that are open on this host.
   *
   * @returns the jobs
   */
  all(): HeldJob[] {
    return [...this.heldJobs.values()];
  }

  /**
   * Checks whether this host has nothing to run.
   *
   * @returns whether no job is open on this host
   */
  get isIdle(): boolean {
    return this.heldJobs.size === 0;
  }

  /** Returns the policy of a job's route, or nothing while it is unknown whether the route still exists. */
  private policyOf({ route, configuration = 0 }: JobRecord): JobPolicy | undefined {
    const { view } = this.dependencies;
    const policy = view.index?.findRouteByName(route);
    if (policy || !view.index) return policy;
    // An older version than the one with which the job was accepted may lack the route, as it was added since.
    const isKnownVersion = view.index.configuration.version >= configuration;
    return isKnownVersion && view.isCurrent ? REMOVED_ROUTE_POLICY : undefined;
  }

  private isThisProcess(holder: readonly [string, number] | null): boolean {
    const { identity } = this.dependencies;
    return holder?.[0] === identity.name && holder[1] === identity.incarnation;
  }

  private applyJob(job: VersionedJob): void {
    const { record } = job;
    const key = identifyJob(record);
    const held = this.heldJobs.get(key);
    if (held) {
      held.applyState(job);
      if (!held.isHeld) {
        this.heldJobs.delete(key);
        this.takenOver.delete(key);
      }
      return;
    }
    if (isOpen(record) && this.isThisProcess(record.holder)) void this.openJob(job);
  }

  /** Clears the holder of a job if it is this process, so that any host may take the job over. */
  private async release({ account, id }: JobRecord): Promise<void> {
    await this.dependencies.jobs.update(account, id, (current) =>
      this.isThisProcess(current.holder) ? { ...current, holder: null } : undefined,
    );
  }

  private async openJob(job: VersionedJob): Promise<void> {
    const { jobs, progress, identity, journal } = this.dependencies;
    const { id, account } = job.record;
    const key = identifyJob(job.record);
    const policy = this.policyOf(job.record);
    if (this.pendingStoreCalls.has(key) || !policy) return;
    this.pendingStoreCalls.add(key);
    if (this.stopping) {
      // Another host made this one the holder before it learned of the shutdown.
      await this.release(job.record);
      this.pendingStoreCalls.delete(key);
      return;
    }
    const items = await jobs.loadInput(job);
    // A job that was not taken over has only run in this process, so no other host has saved output.
    const outputs = this.takenOver.has(key)
      ? await progress.load(job)
      : ok(new Map<number, ItemOutput>());
    this.pendingStoreCalls.delete(key);
    const newest = this.dependencies.jobCache.find(account, id);
    if (this.stopping) {
      await this.release(job.record);
      return;
    }
    if (items.isErr() || outputs.isErr() || !newest || this.heldJobs.has(key)) return;
    const holder = [identity.name, identity.incarnation] as const;
    const held = new HeldJob(newest, policy, items.value, { jobs, progress, journal, holder });
    if (!held.isHeld) return;
    held.resume(outputs.value);
    journal.record('job-opened', {
      job: id,
      items: held.tasks.size,
      resumed: outputs.value.size,
      ageMs: Math.round(jobs.ageOf(job.record)),
    });
    this.heldJobs.set(key, held);
    this.dependencies.onItemsAvailable();
  }

  /**
   * Opens this host's jobs and takes over jobs of failed hosts. After their retention time, removes jobs that are no
   * longer open, and reports this host's open ones.
   */
  private scan(): void {
    const { jobCache, jobs, members } = this.dependencies;
    if (this.dependencies.timeSinceStoreContact() > STORE_CONTACT_TIMEOUT_MS) return;
    const workers = members.listWorkers();
    jobCache.all().forEach((job) => {
      const { record } = job;
      if (isOpen(record)) {
        if (this.isThisProcess(record.holder)) this.applyJob(job);
        else if (this.shouldTakeOver(record, workers)) void this.takeOver(job);
      }
      this.removeExpired(job, workers);
    });
    this.heldJobs.forEach((job) => {
      job.saveProgress();
      const policy = this.policyOf(job.record) ?? job.policy;
      if (jobs.ageOf(job.record) >= policy.retentionMs) this.dependencies.onExpired(job);
    });
    this.dependencies.onItemsAvailable();
  }

  /** Checks whether the job has no live holder and this host is the one to take it over. */
  private shouldTakeOver(record: JobRecord, workers: readonly string[]): boolean {
    if (!this.hasNoLiveHolder(record.holder)) return false;
    const { identity, members, findHolderFilter } = this.dependencies;
    const mayHold = findHolderFilter(record);
    if (!mayHold) return this.isResponsible(record.id, workers);
    return (
      mayHold(identity.failureDomain) &&
      this.isResponsible(record.id, members.listWorkers(performance.now(), mayHold))
    );
  }

  /** Checks whether this host ranks first for a job among the hosts that can run jobs. */
  private isResponsible(id: string, workers: readonly string[]): boolean {
    const { name } = this.dependencies.identity;
    return workers.includes(name) && ranksFirst(id, name, workers);
  }

  /** Checks whether a job has no holder, or one that has failed. */
  private hasNoLiveHolder(holder: readonly [string, number] | null): boolean {
    if (!holder) return true;
    const { members, timeSinceStoreRecovery } = this.dependencies;
    // Monotonic time starts at the start of the process.
    const own = { storeRegainedMsAgo: timeSinceStoreRecovery(), upMs: performance.now() };
    return members.hasFailed(holder[0], holder[1], own);
  }

  private async takeOver({ record }: VersionedJob): Promise<void> {
    const { jobs, identity, journal } = this.dependencies;
    const key = identifyJob(record);
    if (this.pendingStoreCalls.has(key)) return;
    this.pendingStoreCalls.add(key);
    // Set before the write, which may be applied even if its response is lost.
    this.takenOver.add(key);
    const changed = await jobs.update(record.account, record.id, (current) => {
      if (!isOpen(current) || !this.hasNoLiveHolder(current.holder)) return undefined;
      return { ...current, holder: [identity.name, identity.incarnation] };
    });
    this.pendingStoreCalls.delete(key);
    journal.record('job-taken-over', {
      job: record.id,
      from: record.holder,
      outcome: changed.isOk() ? 'settled' : changed.error.kind,
    });
    if (changed.isOk() && changed.value) this.applyJob(changed.value);
  }

  private removeExpired(job: VersionedJob, workers: readonly string[]): void {
    const { jobs, jobRetentionMs } = this.dependencies;
    const { record } = job;
    if (isOpen(record) || jobs.ageOf(record) < jobRetentionMs) return;
    const key = identifyJob(record);
    if (this.pendingStoreCalls.has(key) || !this.isResponsible(record.id, workers)) return;
    this.pendingStoreCalls.add(key);
    void jobs.remove(job).finally(() => this.pendingStoreCalls.delete(key));
  }
}
