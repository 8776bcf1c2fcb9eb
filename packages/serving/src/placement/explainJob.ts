/** Tells operators which host holds a batch job, where its items would go now, and what they wait for. */
import { err, ok, type Result } from 'neverthrow';
import type { BatchWorker, InspectedJob } from '../batch/BatchWorker.js';
import { findItemRelease } from '../batch/findItemRelease.js';
import type { ItemTask } from '../batch/ItemTask.js';
import type { JobCache } from '../batch/JobCache.js';
import { isOpen, type JobRecord } from '../batch/JobRecord.js';
import type { ConfigurationView } from '../configuration/ConfigurationView.js';
import type { Route } from '../configuration/ServingConfiguration.js';
import type { HostIdentity } from '../fleet/HostIdentity.js';
import type { Members } from '../fleet/Members.js';
import type { AllowedRegions } from '../routing/allowedRegions.js';
import type { TargetRouter } from '../routing/TargetRouter.js';
import type { ServiceExplanation, UnknownSubject } from './explainRequest.js';

/** Maximum number of items that an explanation lists. */
const MAX_LISTED_ITEMS = 100;

/** A job as an operator names it. */
export interface DescribedJob {
  readonly account: string;
  readonly job: string;
}

/** What an unfinished item waits for. */
export type ItemCause =
  | 'running'
  | 'host-not-ready'
  | 'blocked-content'
  | 'retry-delay'
  /** Its route is not in the configuration. */
  | 'route-removed'
  /** All targets of its route are full, or their slots are those of other hosts. */
  | 'slot'
  | 'target'
  | 'permitted-target'
  /** Only targets of the version that began its output continue it. */
  | 'slot-of-version'
  /** A slot is free; the next scheduling pass takes it. */
  | 'scheduling';

/** An unfinished item. */
export interface ItemExplanation {
  readonly item: string;
  readonly cause: ItemCause;
  /** Target of its run. */
  readonly target?: string;
  /** Duration of its run. Unit: ms. */
  readonly runningMs?: number;
  /** Time until it may run. Unit: ms. */
  readonly waitMs?: number;
  /** Events of its output so far. */
  readonly events: number;
  readonly failures: number;
}

/** Where a job and its items are, as one host sees it. */
export interface JobExplanation {
  readonly kind: 'job';
  /** Name of the host that explains. */
  readonly observer: string;
  readonly job: string;
  readonly account: string;
  readonly route: string;
  readonly state: 'open' | 'finished' | 'ended';
  /** Host that runs the items; null if none holds the job. */
  readonly holder: {
    readonly host: string;
    /** Whether the explaining host is the holder, which alone knows the state of the items. */
    readonly isObserver: boolean;
    /** Whether the explaining host knows the holder as a member of the fleet. */
    readonly isMember: boolean;
  } | null;
  readonly itemCount: number;
  readonly resultCount: number;
  /** Absent if any region will do. */
  readonly allowedRegions?: readonly string[];
  /** Time until all results are due; absent unless the explaining host is the holder. Unit: ms. */
  readonly dueInMs?: number;
  /** Unfinished items; absent unless the explaining host is the holder. */
  readonly items?: readonly ItemExplanation[];
  /** Number of unfinished items that are not listed. */
  readonly omittedItems?: number;
  /** Where an item that starts anew would go. */
  readonly services: readonly ServiceExplanation[];
}

/** What decides where the items of a job go. */
export interface JobExplanationSources {
  readonly identity: Pick<HostIdentity, 'name' | 'incarnation'>;
  readonly view: ConfigurationView;
  readonly router: Pick<TargetRouter, 'explain'>;
  readonly members: Pick<Members, 'peers'>;
  readonly jobCache: Pick<JobCache, 'find'>;
  readonly worker: Pick<BatchWorker, 'inspect'>;
}

/** Causes by the result of a choice for an item without output. */
const causesByResult = {
  target: 'scheduling',
  full: 'slot',
  forbidden: 'permitted-target',
  none: 'target',
} as const satisfies Record<string, ItemCause>;

type ChoiceResult = keyof typeof causesByResult;

/** Finds the choice that an item is left with, the best one among several services. */
const RESULTS: readonly ChoiceResult[] = ['target', 'full', 'forbidden', 'none'];

type ItemState = Pick<ItemExplanation, 'cause' | 'target' | 'runningMs' | 'waitMs'>;

/** Explains the items of one job that this host holds. */
const createItemExplainer = (
  job: InspectedJob,
  route: Route | undefined,
  explainAt: (service: string, version: string | undefined) => ChoiceResult,
): ((task: ItemTask) => ItemState) => {
  const now = performance.now();
  const explainDelay = (task: ItemTask): ItemState => {
    const block = route?.services
      .map(({ service }) => job.findBlock(task, service))
      .find((found) => found !== undefined);
    const releaseMs = block ? findItemRelease(block) - now : 0;
    return releaseMs > 0
      ? { cause: 'blocked-content', waitMs: Math.round(releaseMs) }
      : { cause: 'retry-delay', waitMs: Math.round(task.notBefore - now) };
  };
  const explainChoices = ({ response }: ItemTask, { services }: Route): ItemCause => {
    const origin = response.outputOrigin;
    if (origin && services.some(({ service }) => service === origin.service)) {
      const result = explainAt(origin.service, origin.version);
      if (result === 'target') return 'scheduling';
      if (result === 'full') return 'slot-of-version';
    }
    const results = services.map(({ service }) => explainAt(service, undefined));
    return causesByResult[RESULTS.find((result) => results.includes(result)) ?? 'none'];
  };
  return (task) => {
    const { run, notBefore } = task;
    if (run)
      return {
        cause: 'running',
        target: run.target.id,
        runningMs: Math.round(now - run.startedAt),
      };
    if (!job.canStartItems) return { cause: 'host-not-ready' };
    if (notBefore > now) return explainDelay(task);
    return { cause: route ? explainChoices(task, route) : 'route-removed' };
  };
};

const findState = (record: JobRecord): JobExplanation['state'] => {
  if (record.endedAt !== null) return 'ended';
  return isOpen(record) ? 'open' : 'finished';
};

const findHolder = (
  { holder }: JobRecord,
  { identity, members }: JobExplanationSources,
): JobExplanation['holder'] => {
  if (!holder) return null;
  const [host, incarnation] = holder;
  const isObserver = host === identity.name && incarnation === identity.incarnation;
  return {
    host,
    isObserver,
    isMember: isObserver || members.peers.some(({ name }) => name === host),
  };
};

const explainItems = (
  job: InspectedJob,
  route: Route | undefined,
  allowed: AllowedRegions | undefined,
  { router }: JobExplanationSources,
): Pick<JobExplanation, 'dueInMs' | 'items' | 'omittedItems'> => {
  const results = new Map<string, ChoiceResult>();
  const explainAt = (service: string, version: string | undefined): ChoiceResult => {
    const key = JSON.stringify([service, version]);
    const { allowanceOf } = job;
    const result =
      results.get(key) ??
      router.explain({ service, work: 'batch', version, allowed, allowanceOf }).result;
    results.set(key, result);
    return result;
  };
  const explainItem = createItemExplainer(job, route, explainAt);
  const listed = job.tasks.slice(0, MAX_LISTED_ITEMS);
  return {
    dueInMs: Math.round(job.dueInMs),
    items: listed.map((task) => ({
      item: task.item.id,
      ...explainItem(task),
      events: task.response.eventCount,
      failures: task.failures,
    })),
    ...(job.tasks.length > listed.length && { omittedItems: job.tasks.length - listed.length }),
  };
};

/**
 * Explains a job.
 *
 * @param described - account and id of the job
 * @param sources - state of this host, which is only read
 * @returns the explanation; an error if this host knows no such job
 */
export const explainJob = (
  described: DescribedJob,
  sources: JobExplanationSources,
): Result<JobExplanation, UnknownSubject> => {
  const { identity, view, router, jobCache, worker } = sources;
  const found = jobCache.find(described.account, described.job);
  if (!found) return err('job');
  const { record } = found;
  const route = view.index?.findRouteByName(record.route);
  const allowed = view.index?.findAllowedRegions(record);
  const state = findState(record);
  const inspected = state === 'open' ? worker.inspect(record.account, record.id) : undefined;
  const services = state === 'open' ? (route?.services ?? []) : [];
  return ok({
    kind: 'job',
    observer: identity.name,
    job: record.id,
    account: record.account,
    route: record.route,
    state,
    holder: findHolder(record, sources),
    itemCount: record.items.length,
    resultCount: record.listed.length,
    ...(allowed && { allowedRegions: [...allowed] }),
    ...(inspected && explainItems(inspected, route, allowed, sources)),
    services: services.map(({ service, weight }) => {
      const allowanceOf = inspected?.allowanceOf;
      const { targets, result } = router.explain({
        service,
        work: 'batch',
        allowed,
        ...(allowanceOf && { allowanceOf }),
      });
      return { service, weight, outcome: result === 'target' ? 'sent' : 'waits', targets };
    }),
  });
};
