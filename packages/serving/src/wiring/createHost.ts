/** Puts the parts of a serving host together. */
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { systemClock } from '@jacinthlug/control/time/Clock';
import { BatchWorker } from '../batch/BatchWorker.js';
import { JobCache } from '../batch/JobCache.js';
import { JOBS_TABLE } from '../batch/jobKeys.js';
import { JobStore } from '../batch/JobStore.js';
import { ProgressStore } from '../batch/ProgressStore.js';
import { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { ServingConfiguration } from '../configuration/ServingConfiguration.js';
import { DrainingTargets } from '../fleet/DrainingTargets.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { LoadExchange } from '../fleet/LoadExchange.js';
import { Members, MEMBERS_TABLE } from '../fleet/Members.js';
import type { Target } from '../fleet/Target.js';
import { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import { TargetClient } from '../http/TargetClient.js';
import { ConnectionFailureTracker } from '../online/ConnectionFailureTracker.js';
import { OnlineRequestHandler } from '../online/OnlineRequestHandler.js';
import { AccountRateLimiter } from '../rates/AccountRateLimiter.js';
import { LoadTable } from '../routing/LoadTable.js';
import { TargetHealth } from '../routing/TargetHealth.js';
import { TargetRouter } from '../routing/TargetRouter.js';
import type { RecordChange, RecordStore, StoredRecord } from '../store/RecordStore.js';
import { TableFollower, type TableListener } from '../store/TableFollower.js';

/** Hold of reads of configuration and targets: short against the bounds on both. Unit: ms. */
const URGENT_HOLD_MS = 1000;

/** Hold of reads of members and jobs. Unit: ms. */
const RELAXED_HOLD_MS = 2000;

/**
 * Least time between two reads of the jobs: each result changes a job's row, and every host would read
 * each change by itself. Callers may get results a second later on other hosts. Unit: ms.
 */
const JOBS_INTERVAL_MS = 400;

/** How often silent members and unused connections are looked for. Unit: ms. */
const MAINTENANCE_INTERVAL_MS = 1000;

/** Age of the configuration's proof above which the host reports that it is not ready. Unit: ms. */
const MAX_READY_AGE_MS = 3000;

/** Where the deployment keeps what others write. */
export interface ExternalTables {
  readonly configurationTable: string;
  /** Decodes the row of the configuration; nothing for other or unreadable rows. */
  readonly decodeConfiguration: (record: StoredRecord) => ServingConfiguration | undefined;
  readonly targetsTable: string;
  /** Decodes the row of a target; nothing for unreadable rows. */
  readonly decodeTarget: (record: StoredRecord) => Target | undefined;
}

/** What a host needs from its deployment. */
export interface HostDependencies {
  readonly identity: HostIdentity;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** How long batch jobs are kept after their acceptance. Unit: ms. */
  readonly jobRetentionMs: number;
  readonly store: RecordStore;
  readonly objects: ObjectStore;
  readonly dialect: Dialect;
  readonly tables: ExternalTables;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** A serving host. */
export interface Host {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly online: OnlineRequestHandler;
  readonly jobs: JobStore;
  readonly jobCache: JobCache;
  /** Chooses name and incarnation of the host that runs a job which this one accepts; nothing when any may take it. */
  readonly holderOf: (job: string) => [string, number] | null;
  /** Tells how old the knowledge of jobs is. Unit: ms. */
  readonly jobsAge: () => number;
  /** Whether balancers should send callers here. */
  readonly isReady: () => boolean;
  /** Waits until configuration and targets are known, but no longer than a limit in ms. */
  waitUntilLoaded(limitMs: number): Promise<void>;
  start(): Promise<void>;
  /** Hands batch jobs over until a monotonic deadline in ms; called while callers' requests still run. */
  handOverJobs(deadline: number): Promise<void>;
  /** Leaves the fleet; called when no request runs any more. */
  stop(): Promise<void>;
}

/** Feeds decoded configuration rows into the view. */
const createConfigurationListener = (
  view: ConfigurationView,
  tables: ExternalTables,
): TableListener => {
  const take = (record: StoredRecord): void => {
    const configuration = tables.decodeConfiguration(record);
    if (configuration) view.apply(configuration);
  };
  return {
    replace: (records) => records.forEach(take),
    apply: (changes) =>
      changes.forEach((change) => {
        if (change.kind === 'written') take(change.record);
      }),
  };
};

/** Feeds decoded targets into the list. */
const createTargetsListener = (
  targets: TargetList,
  tables: ExternalTables,
  sinceReturn: () => number,
): TableListener => {
  const applyOne = (change: RecordChange): void => {
    const target = change.kind === 'written' ? tables.decodeTarget(change.record) : undefined;
    if (target) targets.put(target);
    // An unreadable row names no target to use, like a removed one.
    else
      targets.remove(change.kind === 'written' ? change.record.key : change.key.key, sinceReturn());
  };
  return {
    replace: (records) => {
      const decoded = records.map(tables.decodeTarget).filter((target) => target !== undefined);
      targets.replace(decoded, sinceReturn());
    },
    apply: (changes) => changes.forEach(applyOne),
  };
};

/**
 * Creates a host.
 *
 * @param needs - what the deployment provides
 * @returns the host, not started
 */
export const createHost = (needs: HostDependencies): Host => {
  const { identity, store, objects, dialect, tables, journal, metrics } = needs;
  const view = new ConfigurationView(journal);
  const targets = new TargetList(journal);
  const departures = new DrainingTargets(journal);
  const loads = new LoadTable();
  const breaks = new ConnectionFailureTracker();
  const health = new TargetHealth(journal);
  const members = new Members({ identity, store, journal });
  const client = new TargetClient();
  const router = new TargetRouter({
    identity,
    targets,
    drainingTargets: departures,
    loads,
    health,
  });
  const rates = new AccountRateLimiter({
    share: () => members.share(),
    // Monotonic time counts from the start of the process.
    startedAt: 0,
    isFirstStart: needs.isFirstStart,
  });
  const book = new JobCache(journal);
  const jobs = new JobStore({ store, objects, jobCache: book, journal });
  const progress = new ProgressStore({ store, journal });

  const followerNeeds = { store, journal };
  const configurationFollower = new TableFollower(
    { table: tables.configurationTable, holdMs: URGENT_HOLD_MS, intervalMs: 0 },
    createConfigurationListener(view, tables),
    followerNeeds,
  );
  view.follower = configurationFollower;
  const targetsFollower: TableFollower = new TableFollower(
    { table: tables.targetsTable, holdMs: URGENT_HOLD_MS, intervalMs: 0 },
    createTargetsListener(targets, tables, () => targetsFollower.timeSinceRecovery),
    followerNeeds,
  );
  const membersFollower = new TableFollower(
    { table: MEMBERS_TABLE, holdMs: RELAXED_HOLD_MS, intervalMs: 0 },
    members,
    followerNeeds,
  );
  const jobsFollower = new TableFollower(
    { table: JOBS_TABLE, holdMs: RELAXED_HOLD_MS, intervalMs: JOBS_INTERVAL_MS },
    book,
    followerNeeds,
  );
  const followers = [configurationFollower, targetsFollower, membersFollower, jobsFollower];

  const worker = new BatchWorker({
    identity,
    view,
    members,
    targets,
    router,
    loads,
    health,
    client,
    dialect,
    jobCache: book,
    jobs,
    progress,
    journal,
    metrics,
    drainingTargets: departures,
    jobRetentionMs: needs.jobRetentionMs,
    storeAge: () => configurationFollower.age,
    sinceStoreReturn: () => configurationFollower.timeSinceRecovery,
  });
  const exchange = new LoadExchange({
    identity,
    members,
    journal,
    createContent: () => ({
      storeAgeMs: Math.min(Math.round(configurationFollower.age), Number.MAX_SAFE_INTEGER),
      loads: loads.ownLoads(),
      rates: rates.listOwnUsage(),
      silent: health.findPaused(targets.size),
      waitingItems: worker.waitingItems,
      connectionFailures: breaks.listRecent(performance.now()),
      leaving: departures.selectForReport(),
      isStopping: members.isStopping,
    }),
    onReport: (report) => {
      loads.applyReport(report);
      rates.applyReport(report);
      breaks.applyReport(report);
      departures.applyReport(report);
      if (worker.mustPreempt(report)) worker.wake();
      else worker.wakeSoon();
    },
  });
  const online = new OnlineRequestHandler({
    view,
    router,
    loadTable: loads,
    connectionFailures: breaks,
    health,
    rates,
    client,
    dialect,
    journal,
    metrics,
    onLowRate: () => exchange.scheduleUrgentReport(),
    onPlaced: (target) => exchange.sendReportTo(router.findHoldersToNotify(target)),
    drainingTargets: departures,
  });
  departures.onAdded(() => exchange.scheduleReport());
  view.onChange(({ configuration }) => rates.configure(configuration));
  loads.onOwnLoadChange(() => {
    exchange.scheduleReport();
    worker.wake();
  });

  let upkeepTimer: NodeJS.Timeout | undefined;
  const upkeep = async (): Promise<void> => {
    members.ensureOwnRow();
    (await members.removeUnresponsive()).forEach((name) => loads.removeHost(name));
    client.closeUnusedPools((id) => targets.find(id) !== undefined);
  };

  return {
    identity,
    view,
    online,
    jobs,
    jobCache: book,
    holderOf: (job) => members.assignHolder(job),
    jobsAge: () => jobsFollower.age,
    isReady: () =>
      !members.isStopping && view.directory !== undefined && view.age < MAX_READY_AGE_MS,
    async waitUntilLoaded(limitMs) {
      const known = [configurationFollower, targetsFollower].map(
        ({ whenLoaded: whenRead }) => whenRead,
      );
      await Promise.race([Promise.all(known), systemClock.sleep(limitMs)]);
    },
    async start() {
      await exchange.start();
      followers.forEach((follower) => {
        void follower.run();
      });
      upkeepTimer = setInterval(() => {
        void upkeep();
      }, MAINTENANCE_INTERVAL_MS);
      worker.start();
    },
    async handOverJobs(deadline) {
      members.isStopping = true;
      exchange.scheduleReport();
      await worker.stop(deadline);
    },
    async stop() {
      clearInterval(upkeepTimer);
      followers.forEach((follower) => follower.stop());
      await members.removeOwnRow();
      exchange.stop();
      client.close();
    },
  };
};
