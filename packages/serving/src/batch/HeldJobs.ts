/** The jobs that this host holds: opened at acceptance, taken over from lost hosts, given back at a stop. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import { ok } from 'neverthrow';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { STORE_WITHIN_MS, type Members } from '../fleet/Members.js';
import { isFirst } from '../fleet/placement.js';
import { HeldJob, type JobTerms } from './HeldJob.js';
import type { JobBook, KnownJob } from './JobBook.js';
import { isOpen, type ItemOutput, type JobRecord } from './JobRecord.js';
import type { JobStore } from './JobStore.js';
import type { ProgressStore } from './ProgressStore.js';

/** How often jobs of lost hosts and outdated jobs are looked for. Unit: ms. */
const SURVEY_MS = 500;

/** Terms of jobs whose route was removed: their items are given up at once. */
const REMOVED_ROUTE: JobTerms = { attempts: 1, completionTargetMs: 0, retentionMs: 0 };

/** What holding jobs needs. */
export interface HeldJobsNeeds {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly members: Members;
  readonly book: JobBook;
  readonly jobs: JobStore;
  readonly progress: ProgressStore;
  readonly journal: Journal;
  /** How long a job is kept after its acceptance. Unit: ms. */
  readonly keepMs: number;
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
  private readonly held = new Map<string, HeldJob>();

  /** Ids of held jobs that other processes had before. */
  private readonly inherited = new Set<string>();

  /** Jobs with a call to the store in progress. */
  private readonly loading = new Set<string>();

  private stopping = false;

  private surveyTimer: NodeJS.Timeout | undefined;

  constructor(private readonly needs: HeldJobsNeeds) {
    needs.book.onChange((job) => this.takeJob(job));
  }

  /** Starts looking for jobs. */
  start(): void {
    this.surveyTimer = setInterval(() => this.survey(), SURVEY_MS);
  }

  /**
   * Cancels the runs and gives the jobs back with what they have put out, so that other hosts go on.
   *
   * @param deadline - monotonic time until which a store that does not answer is waited for. Unit: ms
   */
  async stop(deadline: number): Promise<void> {
    this.stopping = true;
    clearInterval(this.surveyTimer);
    const jobs = this.all();
    await Promise.all(
      jobs
        .filter(({ isHeld }) => isHeld)
        .map(async (job) => {
          await job.handOver(deadline);
          await this.giveBack(job.record);
        }),
    );
  }

  /**
   * Lists the jobs.
   *
   * @returns jobs in the hands of this host
   */
  all(): HeldJob[] {
    return [...this.held.values()];
  }

  /**
   * Tells whether there is nothing to run.
   *
   * @returns whether this host has no job
   */
  get isIdle(): boolean {
    return this.held.size === 0;
  }

  /** Terms of a job by its route; nothing while it is unknown whether the route still exists. */
  private termsOf(route: string): JobTerms | undefined {
    const { view } = this.needs;
    return view.directory?.routeNamed(route) ?? (view.isCurrent ? REMOVED_ROUTE : undefined);
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
      if (!held.isHeld) {
        this.held.delete(record.id);
        this.inherited.delete(record.id);
      }
      return;
    }
    if (isOpen(record) && this.isOwn(record.holder)) void this.open(job);
  }

  /** Lets any host take a job that this one does not run. */
  private async giveBack({ account, id }: JobRecord): Promise<void> {
    await this.needs.jobs.change(account, id, (present) =>
      this.isOwn(present.holder) ? { ...present, holder: null } : undefined,
    );
  }

  private async open(job: KnownJob): Promise<void> {
    const { jobs, progress, identity, journal } = this.needs;
    const { id, input, route: routeName, account } = job.record;
    const route = this.termsOf(routeName);
    if (this.loading.has(id) || !route) return;
    this.loading.add(id);
    if (this.stopping) {
      // Another host has named this one before it knew of the stop.
      await this.giveBack(job.record);
      this.loading.delete(id);
      return;
    }
    const items = await jobs.loadInput(input);
    // A job that this process accepted has run nowhere else.
    const outputs = this.inherited.has(id)
      ? await progress.load(job.record)
      : ok(new Map<number, ItemOutput>());
    this.loading.delete(id);
    const newest = this.needs.book.find(account, id);
    if (this.stopping) {
      await this.giveBack(job.record);
      return;
    }
    if (items.isErr() || outputs.isErr() || !newest || this.held.has(id)) return;
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
    this.held.set(id, held);
    this.needs.onOpened();
  }

  /** Opens own jobs, takes over those of lost hosts, gives up what is outdated. */
  private survey(): void {
    const { book, jobs, members } = this.needs;
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
    this.held.forEach((job) => {
      job.saveProgress();
      const terms = this.termsOf(job.record.route) ?? job.terms;
      if (jobs.ageOf(job.record) >= terms.retentionMs) this.needs.onOutdated(job);
    });
    this.needs.onOpened();
  }

  /** Whether the holder is lost and this host is the one that takes over. */
  private isNext(
    holder: readonly [string, number] | null,
    id: string,
    atWork: readonly string[],
  ): boolean {
    return this.isFree(holder) && this.isChosen(id, atWork);
  }

  /** Whether this host is the one of those at work that a job falls to. */
  private isChosen(id: string, atWork: readonly string[]): boolean {
    const { name } = this.needs.identity;
    return atWork.includes(name) && isFirst(id, name, atWork);
  }

  /** Whether nobody works on a job any more. */
  private isFree(holder: readonly [string, number] | null): boolean {
    if (!holder) return true;
    const { members, sinceStoreReturn } = this.needs;
    // Monotonic time counts from the start of the process.
    const own = { storeRegainedMsAgo: sinceStoreReturn(), upMs: performance.now() };
    return members.isLost(holder[0], holder[1], own);
  }

  private async takeOver({ record }: KnownJob): Promise<void> {
    const { jobs, identity, journal } = this.needs;
    if (this.loading.has(record.id)) return;
    this.loading.add(record.id);
    // Set before the write, which may take effect although its answer is lost.
    this.inherited.add(record.id);
    const changed = await jobs.change(record.account, record.id, (present) => {
      if (!isOpen(present) || !this.isFree(present.holder)) return undefined;
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
    const { jobs, keepMs } = this.needs;
    const { record } = job;
    if (isOpen(record) || jobs.ageOf(record) < keepMs) return;
    if (this.loading.has(record.id) || !this.isChosen(record.id, atWork)) return;
    this.loading.add(record.id);
    void jobs.remove(job).finally(() => this.loading.delete(record.id));
  }
}
