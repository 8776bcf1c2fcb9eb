/** Collects the crashes of targets and the served content that all hosts observe. */
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import { LRUCache } from 'lru-cache';
import type { Crash } from './findCulprit.js';
import { RecentCounter } from './RecentCounter.js';

/** How long a crash counts as evidence. Unit: ms. */
const RETENTION_MS = 60_000;

/** Maximum number of crashes that are kept; the oldest are dropped. */
const MAX_CRASHES = 256;

/** Maximum difference between the times at which two hosts notice the same crash. Unit: ms. */
const MAX_OBSERVATION_SKEW_MS = 500;

/** Maximum number of content keys whose latest serving time is kept. */
const MAX_SERVED_KEYS = 8192;

/** How long an observation is reported; by then every host has received several reports. Unit: ms. */
const REPORT_DURATION_MS = 5000;

/** Maximum number of crashes in a report. Keeps datagrams small when many targets crash. */
const MAX_CRASHES_PER_REPORT = 4;

/** Maximum number of failed requests in a reported crash. */
const MAX_REQUESTS_PER_CRASH = 8;

/** Maximum number of served content keys in a report. */
const MAX_SERVED_KEYS_PER_REPORT = 16;

/** A request that failed because the connection to its target was lost before its response was under way. */
export interface FailedRequest {
  /** Identity of the target. */
  readonly target: string;
  readonly service: string;
  readonly contentKeys: readonly string[];
  /** Monotonic time at which the request was sent. Unit: ms. */
  readonly sentAt: number;
}

/** A crash as observed by one host. */
interface Observation {
  readonly target: string;
  readonly service: string;
  /** Monotonic time. Unit: ms. */
  readonly at: number;
  requests: readonly (readonly string[])[];
}

/** An observation of this host, which it reports to the others. */
interface OwnObservation extends Observation {
  readonly number: number;
  requests: string[][];
  reportCount: number;
}

/** A crash with the observations of all hosts. */
interface ObservedCrash {
  readonly target: string;
  readonly service: string;
  readonly at: number;
  /** By host, its incarnation, and the number that it gave the observation. */
  readonly observations: Map<string, Observation>;
  /** Content keys of the failed requests of all observations. */
  requests: readonly (readonly string[])[];
}

type CrashFields = Pick<LoadReport, 'crashes' | 'servedContent' | 'servedCounts'>;

/** Evidence of which content crashes targets. */
export class CrashLog {
  /** Oldest first. */
  private crashes: ObservedCrash[] = [];

  private ownObservations: OwnObservation[] = [];

  private observationCount = 0;

  /** Time of the latest crash by content key of the requests that failed with it. Unit: ms. */
  private readonly failedAt = new Map<string, number>();

  /** Latest serving time by content key. Unit: ms. */
  private readonly servedAt = new LRUCache<string, number>({ max: MAX_SERVED_KEYS });

  private readonly servedByService = new Map<string, RecentCounter>();

  /** Requests served by this host since its start, by service. */
  private readonly ownServedCounts = new Map<string, number>();

  /** Latest counts of other hosts, by host, incarnation and service. */
  private readonly reportedCounts = new Map<string, number>();

  /** Serving times of content that had failed before, to be reported to other hosts. */
  private readonly servedAfterCrash = new Map<string, number>();

  /**
   * Records a failed request.
   *
   * @param request - the request
   * @param now - monotonic time. Unit: ms
   */
  recordFailure({ target, service, contentKeys, sentAt }: FailedRequest, now: number): void {
    this.removeOld(now);
    const known = this.ownObservations.findLast((each) => each.target === target);
    // A request that was sent after a crash can't have failed with it.
    if (known && sentAt <= known.at) {
      known.requests.push([...contentKeys]);
      known.reportCount = 0;
      this.merge(`own/${known.number}`, known);
      return;
    }
    this.observationCount += 1;
    const observation: OwnObservation = {
      target,
      service,
      at: now,
      requests: [[...contentKeys]],
      number: this.observationCount,
      reportCount: 0,
    };
    this.ownObservations.push(observation);
    this.merge(`own/${observation.number}`, observation);
  }

  /**
   * Records that a target has begun to respond to a request, without crashing.
   *
   * @param service - name of the service
   * @param contentKeys - content keys of the request
   * @param now - monotonic time. Unit: ms
   */
  recordServed(service: string, contentKeys: readonly string[], now: number): void {
    this.countServedRequests(service, 1, now);
    this.ownServedCounts.set(service, (this.ownServedCounts.get(service) ?? 0) + 1);
    contentKeys.forEach((key) => {
      if (this.hasFailedSinceServed(key)) this.servedAfterCrash.set(key, now);
      this.servedAt.set(key, now);
    });
  }

  /**
   * Applies the observations of another host.
   *
   * @param report - latest report of the host
   * @param now - monotonic time. Unit: ms
   * @returns whether it contained crashes or failed requests that were not known
   */
  applyReport(report: LoadReport, now: number): boolean {
    const { host, incarnation, ageMs } = report;
    report.servedContent.forEach(([key, servedMsAgo]) => {
      const at = now - ageMs - servedMsAgo;
      this.servedAt.set(key, Math.max(at, this.servedAt.get(key) ?? at));
    });
    this.applyCounts(report, now);
    if (report.crashes.length === 0) return false;
    this.removeOld(now);
    return report.crashes
      .map(([number, target, service, crashedMsAgo, requests]) =>
        this.merge(`${host}/${incarnation}/${number}`, {
          target,
          service,
          at: now - ageMs - crashedMsAgo,
          requests,
        }),
      )
      .some((isNew) => isNew);
  }

  /**
   * Creates this host's part of a report. It is empty while no target has crashed.
   *
   * @param now - monotonic time. Unit: ms
   * @returns recent crashes, content served after a crash, and numbers of served requests
   */
  createReport(now: number): CrashFields {
    this.removeOld(now);
    if (this.crashes.length === 0) return { crashes: [], servedContent: [], servedCounts: [] };
    const reported = this.ownObservations
      .filter(({ at }) => now - at < REPORT_DURATION_MS)
      .sort((a, b) => a.reportCount - b.reportCount)
      .slice(0, MAX_CRASHES_PER_REPORT);
    reported.forEach((observation) => {
      Object.assign(observation, { reportCount: observation.reportCount + 1 });
    });
    return {
      crashes: reported.map(({ number, target, service, at, requests }) => [
        number,
        target,
        service,
        Math.round(now - at),
        requests.slice(0, MAX_REQUESTS_PER_CRASH),
      ]),
      servedContent: [...this.servedAfterCrash.entries()]
        .slice(-MAX_SERVED_KEYS_PER_REPORT)
        .map(([key, at]) => [key, Math.round(now - at)]),
      servedCounts: [...this.ownServedCounts.entries()],
    };
  }

  /**
   * Checks whether a request with certain content has failed at this host.
   *
   * @param key - content key
   * @returns whether one of this host's recent observations contains it
   */
  hasObserved(key: string): boolean {
    return this.ownObservations.some(({ requests }) => requests.some((keys) => keys.includes(key)));
  }

  /**
   * Lists the crashes that no known content explains.
   *
   * @param isExplainedBy - checks whether content is known to crash targets
   * @param now - monotonic time. Unit: ms
   * @returns crashes, oldest first
   */
  listUnexplained(isExplainedBy: (key: string) => boolean, now: number): Crash[] {
    this.removeOld(now);
    return this.crashes.filter(
      ({ requests }) => !requests.some((keys) => keys.some(isExplainedBy)),
    );
  }

  /**
   * Checks whether content is a suspect.
   *
   * @param key - content key
   * @returns whether a request with it has failed recently, and none was served since then
   */
  hasFailedSinceServed(key: string): boolean {
    const failedAt = this.failedAt.get(key);
    return (
      failedAt !== undefined && failedAt > (this.servedAt.get(key) ?? Number.NEGATIVE_INFINITY)
    );
  }

  /**
   * Returns the latest time at which content was served.
   *
   * @param key - content key
   * @returns monotonic time; undefined if that is not known. Unit: ms
   */
  lastServedAt(key: string): number | undefined {
    return this.servedAt.get(key);
  }

  /**
   * Counts the served requests of a service.
   *
   * @param service - name of the service
   * @param from - monotonic time. Unit: ms
   * @param to - monotonic time. Unit: ms
   * @returns requests of all hosts that report theirs
   */
  countServed(service: string, from: number, to: number): number {
    return this.servedByService.get(service)?.countBetween(from, to) ?? 0;
  }

  private noteFailure({ at, requests }: Observation): void {
    requests.forEach((keys) =>
      keys.forEach((key) => this.failedAt.set(key, Math.max(at, this.failedAt.get(key) ?? at))),
    );
  }

  private countServedRequests(service: string, count: number, now: number): void {
    const counter = this.servedByService.get(service) ?? new RecentCounter();
    this.servedByService.set(service, counter);
    counter.add(count, now);
  }

  /** Adds what another host has served since its previous report. */
  private applyCounts({ host, incarnation, servedCounts }: LoadReport, now: number): void {
    servedCounts.forEach(([service, count]) => {
      const id = `${host}/${incarnation}/${service}`;
      const previous = this.reportedCounts.get(id) ?? count;
      this.reportedCounts.set(id, count);
      if (count > previous) this.countServedRequests(service, count - previous, now);
    });
  }

  /** Adds an observation to the crash that it belongs to; returns whether it contains anything new. */
  private merge(id: string, observation: Observation): boolean {
    const crash =
      this.crashes.find(({ observations }) => observations.has(id)) ??
      this.findCrash(id, observation) ??
      this.addCrash(observation);
    const known = crash.observations.get(id);
    crash.observations.set(id, observation);
    crash.requests = [...crash.observations.values()].flatMap(({ requests }) => requests);
    this.noteFailure(observation);
    return known?.requests.length !== observation.requests.length;
  }

  /** Finds the crash that another host has observed too. One host observes each crash only once. */
  private findCrash(id: string, { target, at }: Observation): ObservedCrash | undefined {
    const host = id.slice(0, id.lastIndexOf('/') + 1);
    return this.crashes.find(
      (crash) =>
        crash.target === target &&
        Math.abs(crash.at - at) <= MAX_OBSERVATION_SKEW_MS &&
        ![...crash.observations.keys()].some((each) => each.startsWith(host)),
    );
  }

  private addCrash({ target, service, at }: Observation): ObservedCrash {
    const crash: ObservedCrash = { target, service, at, observations: new Map(), requests: [] };
    this.crashes.push(crash);
    this.crashes.sort((a, b) => a.at - b.at);
    if (this.crashes.length > MAX_CRASHES) this.crashes.shift();
    return crash;
  }

  private removeOld(now: number): void {
    const isRecent = ({ at }: { readonly at: number }): boolean => now - at < RETENTION_MS;
    if (this.crashes.length > 0 && !isRecent(this.crashes[0]!)) {
      this.crashes = this.crashes.filter(isRecent);
      this.ownObservations = this.ownObservations.filter(isRecent);
      this.failedAt.forEach((at, key) => {
        if (!isRecent({ at })) this.failedAt.delete(key);
      });
      if (this.crashes.length === 0) this.reportedCounts.clear();
    }
    this.servedAfterCrash.forEach((at, key) => {
      if (now - at >= REPORT_DURATION_MS) this.servedAfterCrash.delete(key);
    });
  }
}
