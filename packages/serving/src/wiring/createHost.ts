/** Creates a serving host from its components. */
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { systemClock } from '@jacinthlug/control/time/Clock';
import type { Result } from 'neverthrow';
import {
  createAdmission,
  createShares,
  readsTimes,
  type AdmissionPolicies,
} from '../admission/createAdmission.js';
import { RoomGauge } from '../admission/RoomGauge.js';
import { BatchWorker } from '../batch/BatchWorker.js';
import type { ItemPolicy } from '../batch/itemPolicies.js';
import { JobCache } from '../batch/JobCache.js';
import { JOBS_TABLE } from '../batch/jobKeys.js';
import { JobStore } from '../batch/JobStore.js';
import { ProgressStore } from '../batch/ProgressStore.js';
import { ConfigurationView } from '../configuration/ConfigurationView.js';
import type {
  ConfigurationFault,
  ServingConfiguration,
} from '../configuration/ServingConfiguration.js';
import { BLOCKED_CONTENT_TABLE, BlockedContent } from '../crashes/BlockedContent.js';
import { CrashGuard } from '../crashes/CrashGuard.js';
import { ColdTargets } from '../fleet/ColdTargets.js';
import { DrainingTargets } from '../fleet/DrainingTargets.js';
import { Evacuations } from '../fleet/Evacuations.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import { LoadExchange } from '../fleet/LoadExchange.js';
import { Members, MEMBERS_TABLE } from '../fleet/Members.js';
import type { Target } from '../fleet/Target.js';
import { TargetList } from '../fleet/TargetList.js';
import type { Dialect } from '../http/Dialect.js';
import { Shutdown } from '../http/Shutdown.js';
import { TargetClient } from '../http/TargetClient.js';
import { OnlineRequestHandler } from '../online/OnlineRequestHandler.js';
import { explainJob, type DescribedJob, type JobExplanation } from '../placement/explainJob.js';
import {
  explainRequest,
  type DescribedRequest,
  type RequestExplanation,
  type UnknownSubject,
} from '../placement/explainRequest.js';
import { PredictionSwitch } from '../placement/PredictionSwitch.js';
import { placementStrategies, type Placement } from '../placement/strategies.js';
import { TargetOutlook } from '../placement/TargetOutlook.js';
import { WorkLedger } from '../placement/WorkLedger.js';
import { AccountRateLimiter } from '../rates/AccountRateLimiter.js';
import {
  findUnknownRegions,
  isAllowed,
  type AllowedRegions,
  type RegionsByDomain,
} from '../routing/allowedRegions.js';
import { LoadTable } from '../routing/LoadTable.js';
import { TargetHealth } from '../routing/TargetHealth.js';
import { TargetRouter } from '../routing/TargetRouter.js';
import type { RecordChange, RecordStore, StoredRecord } from '../store/RecordStore.js';
import { SharedRead } from '../store/SharedRead.js';
import { StoreContact } from '../store/StoreContact.js';
import { StreamRecords } from '../streams/StreamRecords.js';
import { StreamResumption } from '../streams/StreamResumption.js';
import { StreamRetention } from '../streams/StreamRetention.js';
import { StreamVersions } from '../streams/StreamVersions.js';
import { VersionHistory } from '../streams/VersionHistory.js';
import { TableFollower, type TableListener } from '../store/TableFollower.js';

/** Timeout of long polls for configuration and targets. It is short compared with the age limits of both. Unit: ms. */
const URGENT_POLL_TIMEOUT_MS = 1000;

/** Timeout of long polls for members and jobs. Unit: ms. */
const RELAXED_POLL_TIMEOUT_MS = 2000;

/**
 * Timeout of long polls for blocked content. Its rows matter to hosts that start, since running hosts learn of crashes
 * from one another. Unit: ms.
 */
const BLOCKED_CONTENT_POLL_TIMEOUT_MS = 10_000;

/**
 * Minimum time between two reads of the jobs. Each result changes a job's row, and without a minimum every host would
 * read each change separately. A delay of up to a second is acceptable for results from other hosts. Unit: ms.
 */
const MIN_JOBS_READ_INTERVAL_MS = 400;

/** Interval of the removal of unresponsive members and unused connections. Unit: ms. */
const MAINTENANCE_INTERVAL_MS = 1000;

/** Maximum age of the configuration at which a host reports that it is ready. Unit: ms. */
const MAX_READY_AGE_MS = 3000;

/** What the key of a row in the configuration table says of an evacuation. */
export type EvacuationKey = { readonly failureDomain: string } | 'unreadable' | undefined;

/** Tables of the deployment that are written by other processes. */
export interface ExternalTables {
  /** Partition of the rows of both tables. Rows of other partitions may have the same keys, and are ignored. */
  readonly partition: string;
  readonly configurationTable: string;
  /** Decodes the row of the configuration; undefined for other rows. */
  readonly decodeConfiguration: (
    record: StoredRecord,
  ) => Result<ServingConfiguration, ConfigurationFault> | undefined;
  /**
   * Decodes the key of a row of the configuration's table that requests an evacuation.
   *
   * @returns the name of the failure domain; 'unreadable' if the key has no valid one; undefined for keys of other rows
   */
  readonly decodeEvacuation: (key: string) => EvacuationKey;
  readonly targetsTable: string;
  /** Decodes the row of a target; undefined for invalid rows. */
  readonly decodeTarget: (record: StoredRecord) => Target | undefined;
}

/** Dependencies of {@link createHost}, provided by the deployment. */
export interface HostDependencies {
  readonly identity: HostIdentity;
  /** Regions of the failure domains. */
  readonly regions: RegionsByDomain;
  /** Whether this is the first start of the whole system. */
  readonly isFirstStart: boolean;
  /** Retention of batch jobs after their acceptance. Unit: ms. */
  readonly jobRetentionMs: number;
  /** How targets are chosen. */
  readonly placement: Placement;
  readonly policies: AdmissionPolicies;
  /** How batch items are started and preempted. */
  readonly itemPolicy: ItemPolicy;
  readonly store: RecordStore;
  readonly objects: ObjectStore;
  /** Memory for the bodies of callers' requests. Unit: bytes. */
  readonly bodyMemoryBytes: number;
  readonly dialect: Dialect;
  readonly tables: ExternalTables;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Tells operators where requests and jobs would go now. */
export interface PlacementExplainer {
  /** Explains a request; an error names the part that the configuration does not have. */
  readonly explainRequest: (
    request: DescribedRequest,
  ) => Result<RequestExplanation, UnknownSubject>;
  /** Explains a job; an error names the part that does not exist. */
  readonly explainJob: (job: DescribedJob) => Result<JobExplanation, UnknownSubject>;
}

/** A serving host. */
export interface Host {
  readonly identity: HostIdentity;
  readonly view: ConfigurationView;
  readonly online: OnlineRequestHandler;
  /** Memory for the bodies of requests and submissions. */
  readonly bodies: BodyBudget;
  readonly shutdown: Shutdown;
  readonly jobs: JobStore;
  readonly jobCache: JobCache;
  /**
   * Returns name and incarnation of the host that is to run a job accepted here; null if any host in an allowed region may run
   * it.
   */
  readonly holderOf: (job: string, allowed: AllowedRegions | undefined) => [string, number] | null;
  /** Returns the time since the known jobs were confirmed as current. Unit: ms. */
  readonly jobsAge: () => number;
  /** Tells operators where requests and jobs would go now. Nothing is sent, taken or counted. */
  readonly placement: PlacementExplainer;
  /** Checks whether load balancers should send callers to this host. */
  readonly isReady: () => boolean;
  /** Waits until configuration and targets are loaded, at most until a monotonic deadline in ms. */
  waitUntilLoaded(deadline: number): Promise<void>;
  start(): Promise<void>;
  /** Hands batch jobs over to other hosts until a monotonic deadline in ms. Callers' requests may still be running. */
  handOverJobs(deadline: number): Promise<void>;
  /** Leaves the fleet. Called when no request is running. */
  stop(): Promise<void>;
}

/** Creates a listener that receives only rows of one partition. */
const selectPartition = (partition: string, listener: TableListener): TableListener => ({
  replace: (records, revision) =>
    listener.replace(
      records.filter((record) => record.partition === partition),
      revision,
    ),
  apply: (changes) =>
    listener.apply(
      changes.filter((change) => {
        const key = change.kind === 'written' ? change.record : change.key;
        return key.partition === partition;
      }),
    ),
});

/** Creates a listener that applies decoded configuration rows to the view, and the operator's evacuations. */
const createConfigurationListener = (
  view: ConfigurationView,
  evacuations: Evacuations,
  tables: ExternalTables,
  journal: Journal,
): TableListener => {
  const applyRecord = (record: StoredRecord): void => {
    tables.decodeConfiguration(record)?.match(
      (configuration) => view.apply(configuration),
      (fault) => journal.record('configuration-unreadable', { ...fault }),
    );
  };
  const findEvacuated = (key: string): string | undefined => {
    const decoded = tables.decodeEvacuation(key);
    if (decoded !== 'unreadable') return decoded?.failureDomain;
    journal.record('evacuation-unreadable', { table: tables.configurationTable, key });
    return undefined;
  };
  return selectPartition(tables.partition, {
    replace: (records) => {
      // Before the configuration, as requests are served from then on.
      evacuations.replace(
        records.map(({ key }) => findEvacuated(key)).filter((domain) => domain !== undefined),
      );
      records.forEach(applyRecord);
    },
    apply: (changes) =>
      changes.forEach((change) => {
        const { key } = change.kind === 'written' ? change.record : change.key;
        const evacuated = findEvacuated(key);
        if (evacuated !== undefined && change.kind === 'written') evacuations.begin(evacuated);
        else if (evacuated !== undefined) evacuations.end(evacuated);
        else if (change.kind === 'written') applyRecord(change.record);
      }),
  });
};

/** Creates a listener that applies decoded target rows to the target list. */
const createTargetsListener = (
  targets: TargetList,
  tables: ExternalTables,
  journal: Journal,
  timeSinceOutage: () => number,
): TableListener => {
  const decode = (record: StoredRecord): Target | undefined => {
    const target = tables.decodeTarget(record);
    if (target) return target;
    journal.record('record-unreadable', { table: tables.targetsTable, key: record.key });
    targets.reject(record.key);
    return undefined;
  };
  const applyChange = (change: RecordChange): void => {
    if (change.kind === 'removed') {
      targets.remove(change.key.key, timeSinceOutage());
      return;
    }
    const target = decode(change.record);
    if (target) targets.put(target);
  };
  return selectPartition(tables.partition, {
    replace: (records) => {
      const decoded = records.map(decode).filter((target) => target !== undefined);
      targets.replace(decoded, timeSinceOutage());
    },
    apply: (changes) => changes.forEach(applyChange),
  });
};

/**
 * Creates a serving host.
 *
 * @param dependencies - components and settings from the deployment
 * @returns the host, which is not started
 */
export const createHost = (dependencies: HostDependencies): Host => {
  const { identity, regions, store, objects, dialect, tables, journal, metrics } = dependencies;
  const view = new ConfigurationView(journal);
  const shutdown = new Shutdown();
  const targets = new TargetList(journal);
  const drainingTargets = new DrainingTargets(journal);
  const evacuations = new Evacuations({ targets, journal });
  const loadTable = new LoadTable();
  const blockedContent = new BlockedContent({ store, journal });
  const crashGuard = new CrashGuard({ blockedContent, journal });
  const health = new TargetHealth(journal);
  const strategy = placementStrategies[dependencies.placement];
  const ledger = new WorkLedger({
    strategy,
    informsAdmission: readsTimes[dependencies.policies.admission],
  });
  const predictionSwitch = strategy.isAdaptive
    ? new PredictionSwitch({ ledger, journal })
    : undefined;
  const members = new Members({ identity, store, journal });
  const client = new TargetClient();
  const coldTargets = new ColdTargets({
    ownName: identity.name,
    listOthers: () => members.peers.map(({ name }) => name),
    timeSinceRegistration: () => members.timeSinceRegistration(),
    findLimit: (service) => view.index?.findService(service)?.coldLimit,
    journal,
    metrics,
  });
  const router = new TargetRouter({
    identity,
    targets,
    drainingTargets,
    evacuations,
    coldTargets,
    regions,
    loadTable,
    health,
    outlook: strategy.predictsTimes
      ? new TargetOutlook({ strategy, loadTable, ledger, predictionSwitch, metrics })
      : undefined,
  });
  const retention = new StreamRetention();
  const streamVersions = new StreamVersions(retention);
  const versionHistory = new VersionHistory(retention);
  const streamRecords = new StreamRecords({
    identity,
    store,
    streamVersions,
    versionHistory,
    retention,
    countHosts: () => members.fleetSize.local + members.fleetSize.remote + 1,
    journal,
  });
  const shares = createShares(dependencies.policies.shares, ledger.accounts);
  const admission = createAdmission(dependencies.policies.admission, {
    shares,
    times: ledger.times,
    gauge: new RoomGauge({ targets, loadTable }),
    metrics,
  });
  const rates = new AccountRateLimiter({
    share: () => members.share(),
    // Monotonic time counts from the start of the process.
    startedAt: 0,
    isFirstStart: dependencies.isFirstStart,
    onUse: (account, requests, now) => shares.recordUse(account, requests, now),
  });
  const jobCache = new JobCache(journal);
  const jobs = new JobStore({
    store,
    objects,
    jobCache,
    journal,
    findKeyFormat: () => members.findKeyFormat(),
  });
  const progress = new ProgressStore({ store, journal });

  const storeContact = new StoreContact();
  const followerDependencies = { store, journal, contact: storeContact };
  const configurationFollower = new TableFollower(
    { table: tables.configurationTable, holdMs: URGENT_POLL_TIMEOUT_MS, intervalMs: 0 },
    createConfigurationListener(view, evacuations, tables, journal),
    followerDependencies,
  );
  view.follower = configurationFollower;
  const targetsFollower = new TableFollower(
    { table: tables.targetsTable, holdMs: URGENT_POLL_TIMEOUT_MS, intervalMs: 0 },
    createTargetsListener(targets, tables, journal, () => storeContact.timeSinceOutage()),
    followerDependencies,
  );
  const targetsRead = new SharedRead(() => targetsFollower.catchUp());
  const membersFollower = new TableFollower(
    { table: MEMBERS_TABLE, holdMs: RELAXED_POLL_TIMEOUT_MS, intervalMs: 0 },
    members,
    followerDependencies,
  );
  const jobsFollower = new TableFollower(
    { table: JOBS_TABLE, holdMs: RELAXED_POLL_TIMEOUT_MS, intervalMs: MIN_JOBS_READ_INTERVAL_MS },
    jobCache,
    followerDependencies,
  );
  const blockedContentFollower = new TableFollower(
    { table: BLOCKED_CONTENT_TABLE, holdMs: BLOCKED_CONTENT_POLL_TIMEOUT_MS, intervalMs: 0 },
    blockedContent,
    followerDependencies,
  );
  const followers = [
    configurationFollower,
    targetsFollower,
    membersFollower,
    jobsFollower,
    blockedContentFollower,
  ];

  const worker = new BatchWorker({
    identity,
    view,
    members,
    targets,
    router,
    loadTable,
    ledger,
    health,
    crashGuard,
    client,
    dialect,
    jobCache,
    jobs,
    progress,
    journal,
    metrics,
    drainingTargets,
    itemPolicy: dependencies.itemPolicy,
    findHolderFilter: (job) => {
      const allowed = view.index?.findAllowedRegions(job);
      return allowed && ((failureDomain) => isAllowed(failureDomain, allowed, regions));
    },
    jobRetentionMs: dependencies.jobRetentionMs,
    timeSinceStoreContact: () => configurationFollower.age,
    timeSinceStoreRecovery: () => configurationFollower.timeSinceRecovery,
  });
  const estimateWorkLeft = (id: string): number => {
    const target = strategy.usesCost ? targets.find(id) : undefined;
    return target ? ledger.workLeftMs(target) : 0;
  };
  const exchange = new LoadExchange({
    identity,
    members,
    journal,
    createContent: () => ({
      storeAgeMs: Math.min(Math.round(configurationFollower.age), Number.MAX_SAFE_INTEGER),
      loads: loadTable.ownLoads(estimateWorkLeft),
      rates: rates.listOwnUsage(),
      silent: health.findPaused(targets.size),
      waitingItems: worker.waitingItemCount,
      leaving: drainingTargets.selectForReport(),
      isStopping: members.isStopping,
      streams: streamVersions.selectForReport(),
      ...crashGuard.createReport(),
    }),
    onReport: (report) => {
      loadTable.applyReport(report);
      rates.applyReport(report);
      crashGuard.applyReport(report);
      drainingTargets.applyReport(report);
      streamVersions.applyReport(report);
      admission.retryWaiting();
      if (worker.mustPreempt(report)) worker.queueScheduling();
      else worker.queueDelayedScheduling();
    },
  });
  const bodies = new BodyBudget(dependencies.bodyMemoryBytes);
  const online = new OnlineRequestHandler({
    view,
    router,
    loadTable,
    ledger,
    crashGuard,
    health,
    admission,
    rates,
    bodies,
    client,
    dialect,
    journal,
    metrics,
    onLowRate: () => exchange.scheduleUrgentReport(),
    onAttemptStart: (target) => exchange.sendReportTo(router.findHoldersToNotify(target)),
    drainingTargets,
    streamVersions,
    streamResumption: new StreamResumption({
      streamVersions,
      streamRecords,
      versionHistory,
      refreshTargets: () => targetsRead.run(),
    }),
    shutdown,
  });
  targets.onChange(() => {
    versionHistory.update(targets.list());
    admission.retryWaiting();
  });
  targets.onChange(() => ledger.retainPaces(new Set(targets.list().map(({ id }) => id))));
  health.onFailure((id) => ledger.forgetPace(id));
  drainingTargets.onAdded(() => exchange.scheduleReport());
  evacuations.onEnd((failureDomain) => {
    coldTargets.markDomain(failureDomain);
    worker.queueScheduling();
  });
  targets.onChange(() => coldTargets.update(targets.list()));
  crashGuard.onEvidence(() => exchange.scheduleReport());
  // Callers may take a stream up elsewhere right after its first event. While only one version serves, it has begun every stream.
  streamVersions.onChange(() => {
    if (versionHistory.isMixed()) exchange.scheduleReport();
  });
  view.onChange(({ configuration }) => {
    rates.configure(configuration);
    shares.configure(configuration.accounts);
    ledger.accounts.retain(new Set(configuration.accounts.map(({ name }) => name)));
    retention.configure(configuration);
    findUnknownRegions(configuration, regions).forEach((unknown) =>
      journal.record('region-unknown', { ...unknown, version: configuration.version }),
    );
  });
  loadTable.onOwnLoadChange(() => {
    exchange.scheduleReport();
    worker.queueScheduling();
    admission.retryWaiting();
  });

  const explanationSources = {
    identity,
    view,
    router,
    rates,
    admission,
    crashGuard,
    members,
    jobCache,
    worker,
  };

  let maintenanceTimer: NodeJS.Timeout | undefined;
  const runMaintenance = async (): Promise<void> => {
    members.ensureOwnRow();
    void crashGuard.save();
    (await members.removeUnresponsive()).forEach((name) => loadTable.removeHost(name));
    client.closeUnusedPools((id) => targets.find(id) !== undefined);
  };

  return {
    identity,
    view,
    online,
    bodies,
    shutdown,
    jobs,
    jobCache,
    holderOf: (job, allowed) =>
      members.assignHolder(job, performance.now(), (failureDomain) =>
        isAllowed(failureDomain, allowed, regions),
      ),
    jobsAge: () => jobsFollower.age,
    placement: {
      explainRequest: (request) => explainRequest(request, explanationSources),
      explainJob: (job) => explainJob(job, explanationSources),
    },
    isReady: () => !members.isStopping && view.index !== undefined && view.age < MAX_READY_AGE_MS,
    async waitUntilLoaded(deadline) {
      const loaded = [configurationFollower, targetsFollower, blockedContentFollower].map(
        ({ whenLoaded }) => whenLoaded,
      );
      await Promise.race([Promise.all(loaded), systemClock.sleep(deadline - performance.now())]);
    },
    async start() {
      await exchange.start();
      followers.forEach((follower) => {
        void follower.run();
      });
      maintenanceTimer = setInterval(() => {
        void runMaintenance();
      }, MAINTENANCE_INTERVAL_MS);
      void streamRecords.start();
      worker.start();
    },
    async handOverJobs(deadline) {
      members.isStopping = true;
      exchange.scheduleReport();
      await worker.stop(deadline);
    },
    async stop() {
      clearInterval(maintenanceTimer);
      followers.forEach((follower) => follower.stop());
      streamRecords.stop();
      await members.removeOwnRow();
      exchange.stop();
      client.close();
    },
  };
};
