/** The hosts of the fleet: their rows in the store, and which of them are heard. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import * as z from 'zod';
import { parseJson } from '../store/parseJson.js';
import type { RecordChange, RecordStore, StoredRecord } from '../store/RecordStore.js';
import type { TableListener } from '../store/TableFollower.js';
import { chooseHolder, selectCapableHosts, type WorkerCandidate } from './capableHosts.js';
import type { HostIdentity } from './HostIdentity.js';
import type { FleetSize } from './reportSchedule.js';

/** Table of the hosts' rows. */
export const MEMBERS_TABLE = 'members';

/**
 * Silence after which a host's share of the rates is not used by others and its loads do not count. Reports come
 * every 350 ms at least, and from other failure domains some 250 ms later, so two or three may be lost. Unit: ms.
 */
const REPORT_TIMEOUT_MS = 1500;

/**
 * Silence after which a host's batch jobs are taken over. A host that was paused for less, or whose link lost
 * some reports, goes on with its runs, which would otherwise be made twice. Unit: ms.
 */
const TAKEOVER_TIMEOUT_MS = 2500;

/**
 * Age of this host's own unbroken contact with the store from which another one without contact counts as cut off
 * from it. After an outage hosts regain the store one after the other. Unit: ms.
 */
const STORE_RECOVERY_MS = 3000;

/**
 * Age of the contact with the store above which a host starts no batch items, as it could not list their
 * results, and above which others take its jobs over. Unit: ms.
 */
export const STORE_CONTACT_TIMEOUT_MS = 3500;

/**
 * Silence after which the row of a host is removed. A host without contact to the store stops taking
 * keyed requests after 4.5 s, so its share of the rates is free by then. Unit: ms.
 */
const REMOVAL_TIMEOUT_MS = 10_000;

const memberRow = z.object({
  address: z.string(),
  port: z.int(),
  incarnation: z.number(),
  failureDomain: z.string(),
  /** Processors that the process may use. */
  cores: z.number().positive().default(1),
});

type MemberRow = z.infer<typeof memberRow>;

/** A host as its row describes it. */
export interface Member extends MemberRow {
  readonly name: string;
  readonly revision: number;
}

interface RegisteredProcess {
  readonly incarnation: number;
  /** Monotonic time. Unit: ms. */
  readonly registeredAt: number;
  /** Whether the row named another process before. */
  readonly isSuccessor: boolean;
}

interface ReportedState {
  readonly incarnation: number;
  /** Monotonic time at which the process started, as its reports tell. Unit: ms. */
  readonly startedAt: number;
  readonly sequence: number;
  /** Monotonic time of the last report. Unit: ms. */
  readonly reportedAt: number;
  readonly storeAgeMs: number;
  readonly isStopping: boolean;
}

/** What a host knows of itself when it judges another one. */
export interface OwnState {
  /** How long it has been in contact with the store; infinite when it never lost it. Unit: ms. */
  readonly storeRegainedMsAgo: number;
  /** Time since the start of its process. Unit: ms. */
  readonly upMs: number;
}

/** What the members need. */
export interface MembersDependencies {
  readonly identity: HostIdentity;
  readonly store: RecordStore;
  readonly journal: Journal;
}

/** Keeps the rows of all hosts and when each was heard. */
export class Members implements TableListener {
  private readonly members = new Map<string, Member>();

  private readonly reportedStates = new Map<string, ReportedState>();

  /** When this host learned of the process that a member's row names. */
  private readonly registeredProcesses = new Map<string, RegisteredProcess>();

  /** Members of this host's failure domain and of the others, without itself, by name. */
  private localMembers: Member[] = [];

  private remoteMembers: Member[] = [];

  private isRegistering = false;

  /** Whether this host stops, and takes no more jobs. */
  isStopping = false;

  constructor(private readonly dependencies: MembersDependencies) {}

  replace(records: readonly StoredRecord[], _revision: number, now = performance.now()): void {
    this.members.clear();
    records.forEach((record) => this.applyRecord(record, now));
    this.updatePeers();
    this.ensureOwnRow();
  }

  apply(changes: readonly RecordChange[], now = performance.now()): void {
    changes.forEach((change) => {
      if (change.kind === 'written') this.applyRecord(change.record, now);
      else this.members.delete(change.key.key);
    });
    this.updatePeers();
    this.ensureOwnRow();
  }

  /**
   * Takes a report of another host.
   *
   * @param report - the report
   * @param now - monotonic time. Unit: ms
   * @returns whether it is newer than the reports before it
   */
  applyReport(report: LoadReport, now = performance.now()): boolean {
    const { host, incarnation, sequence, ageMs, upMs, storeAgeMs, isStopping } = report;
    const before = this.reportedStates.get(host);
    const at = now - ageMs;
    const startedAt = at - upMs;
    if (before?.incarnation === incarnation) {
      if (sequence <= before.sequence) return false;
    } else if (before && startedAt < before.startedAt) {
      return false;
    }
    this.reportedStates.set(host, {
      incarnation,
      startedAt,
      sequence,
      reportedAt: at,
      storeAgeMs,
      isStopping,
    });
    return true;
  }

  /**
   * Lists the other hosts.
   *
   * @returns their rows
   */
  get peers(): Member[] {
    return [...this.localMembers, ...this.remoteMembers];
  }

  /**
   * Lists the other hosts of this failure domain.
   *
   * @returns their rows by name
   */
  get localPeers(): readonly Member[] {
    return this.localMembers;
  }

  /**
   * Lists the hosts of other failure domains.
   *
   * @returns their rows by name
   */
  get remotePeers(): readonly Member[] {
    return this.remoteMembers;
  }

  /**
   * Counts the other hosts.
   *
   * @returns hosts of this failure domain and of the others
   */
  get size(): FleetSize {
    return { local: this.localMembers.length, remote: this.remoteMembers.length };
  }

  /**
   * Tells whether a host stands in this failure domain.
   *
   * @param name - name of the host
   * @returns false for unknown hosts
   */
  isLocal(name: string): boolean {
    return this.members.get(name)?.failureDomain === this.dependencies.identity.failureDomain;
  }

  /**
   * Tells which part of all rates this host's group may use.
   *
   * @param now - monotonic time. Unit: ms
   * @returns members heard, with this one, divided by all members
   */
  share(now = performance.now()): number {
    const { peers } = this;
    const heard = peers.filter(({ name }) => this.isResponsive(name, now)).length;
    return (1 + heard) / (1 + peers.length);
  }

  /**
   * Tells whether a host's process can take jobs.
   *
   * @param name - name of the host
   * @param incarnation - the process that is meant
   * @param now - monotonic time. Unit: ms
   * @returns whether it is heard, reaches the store and does not stop
   */
  isAvailable(name: string, incarnation: number, now = performance.now()): boolean {
    const { identity } = this.dependencies;
    if (name === identity.name) return incarnation === identity.incarnation && !this.isStopping;
    const heard = this.reportedStates.get(name);
    if (!heard || heard.isStopping || !this.isResponsive(name, now)) return false;
    return heard.incarnation === incarnation && heard.storeAgeMs < STORE_CONTACT_TIMEOUT_MS;
  }

  /**
   * Tells whether the work of another host's process may be given to others: the process has ended, has been
   * silent for long, or is cut off from the store while others reach it.
   *
   * @param name - name of the host
   * @param incarnation - the process that is meant
   * @param own - what this host knows of itself
   * @param now - monotonic time. Unit: ms
   * @returns false while it may still be at work
   */
  hasFailed(
    name: string,
    incarnation: number,
    { storeRegainedMsAgo, upMs }: OwnState,
    now = performance.now(),
  ): boolean {
    const { identity } = this.dependencies;
    if (name === identity.name) return incarnation !== identity.incarnation;
    const heard = this.reportedStates.get(name);
    // A process that just started has heard nobody yet.
    if (!heard) return upMs > TAKEOVER_TIMEOUT_MS;
    const listed = this.registeredProcesses.get(name);
    const isListed = listed?.incarnation === incarnation;
    if (heard.incarnation !== incarnation) {
      // The row names a process that may just have replaced the one that was heard.
      return !isListed || now - listed.registeredAt > TAKEOVER_TIMEOUT_MS;
    }
    const isReplaced = listed?.isSuccessor && !isListed && listed.registeredAt > heard.startedAt;
    if (isReplaced) return true;
    if (now - heard.reportedAt > TAKEOVER_TIMEOUT_MS) return true;
    return heard.storeAgeMs > STORE_CONTACT_TIMEOUT_MS && storeRegainedMsAgo > STORE_RECOVERY_MS;
  }

  /**
   * Lists the names of the hosts that can take over work.
   *
   * @param now - monotonic time. Unit: ms
   * @returns of this host and every other one that can take jobs, those that are strong enough
   */
  listWorkers(now = performance.now()): string[] {
    const candidates = this.listCandidates(this.peers, now);
    return selectCapableHosts<WorkerCandidate>(candidates).map(({ name }) => name);
  }

  /**
   * Chooses the host that runs a job which this one accepts. A host that stops still accepts jobs, as callers come until
   * balancers have noticed, but another one runs them.
   *
   * @param job - id of the job
   * @param now - monotonic time. Unit: ms
   * @returns name and incarnation; nothing when no host near can take it, and whoever sees it first should
   */
  assignHolder(job: string, now = performance.now()): [string, number] | null {
    const holder = chooseHolder(
      job,
      this.dependencies.identity,
      this.listCandidates(this.localPeers, now),
    );
    return holder ? [holder.name, holder.incarnation] : null;
  }

  /**
   * Removes the rows of hosts that have been silent for long.
   *
   * @param now - monotonic time. Unit: ms
   * @returns names of hosts that were heard once and are not now, whose loads no longer count
   */
  async removeUnresponsive(now = performance.now()): Promise<string[]> {
    const silent = this.peers.filter(({ name }) => !this.isResponsive(name, now));
    for (const member of silent) {
      const since =
        this.reportedStates.get(member.name)?.reportedAt ??
        this.registeredProcesses.get(member.name)?.registeredAt ??
        now;
      if (now - since > REMOVAL_TIMEOUT_MS) await this.removeRow(member);
    }
    // Also hosts that have left, whose rows are gone.
    return [...this.reportedStates.keys()].filter((name) => !this.isResponsive(name, now));
  }

  /** Writes this host's row when it is missing or an earlier process wrote it; tried again after a failure. */
  ensureOwnRow(): void {
    const { identity, store, journal } = this.dependencies;
    const own = this.members.get(identity.name);
    if (this.isRegistering || own?.incarnation === identity.incarnation) return;
    this.isRegistering = true;
    const { address, port, incarnation, failureDomain, cores } = identity;
    const row: MemberRow = { address, port, incarnation, failureDomain, cores };
    const key = { table: MEMBERS_TABLE, partition: '', key: identity.name };
    void store
      .commit({
        conditions: [{ ...key, revision: own?.revision ?? 0 }],
        writes: [{ ...key, value: Buffer.from(JSON.stringify(row)) }],
      })
      .then((written) => {
        this.isRegistering = false;
        journal.record('member-registered', {
          incarnation,
          outcome: written.isOk() ? 'written' : written.error.kind,
        });
      });
  }

  /** Removes this host's row, so that its share of the rates is free at once. */
  async removeOwnRow(): Promise<void> {
    const own = this.members.get(this.dependencies.identity.name);
    this.isRegistering = true;
    if (own) await this.removeRow(own);
  }

  private updatePeers(): void {
    const { identity } = this.dependencies;
    const others = [...this.members.values()]
      .filter(({ name }) => name !== identity.name)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const isNear = ({ failureDomain }: Member): boolean => failureDomain === identity.failureDomain;
    this.localMembers = others.filter(isNear);
    this.remoteMembers = others.filter((member) => !isNear(member));
  }

  /** Lists this host and some others, as far as they can take jobs. */
  private listCandidates(others: readonly Member[], now: number): WorkerCandidate[] {
    return [this.dependencies.identity, ...others].filter(({ name, incarnation }) =>
      this.isAvailable(name, incarnation, now),
    );
  }

  private isResponsive(name: string, now: number): boolean {
    return (
      now - (this.reportedStates.get(name)?.reportedAt ?? Number.NEGATIVE_INFINITY) <
      REPORT_TIMEOUT_MS
    );
  }

  private applyRecord(record: StoredRecord, now: number): void {
    const row = memberRow.safeParse(parseJson(record.value));
    if (!row.success) {
      this.dependencies.journal.record('record-unreadable', {
        table: MEMBERS_TABLE,
        key: record.key,
      });
      return;
    }
    const { incarnation } = row.data;
    const before = this.registeredProcesses.get(record.key);
    if (before?.incarnation !== incarnation) {
      this.registeredProcesses.set(record.key, {
        incarnation,
        registeredAt: now,
        isSuccessor: before !== undefined,
      });
    }
    this.members.set(record.key, { ...row.data, name: record.key, revision: record.revision });
  }

  private async removeRow({ name, revision }: Member): Promise<void> {
    const key = { table: MEMBERS_TABLE, partition: '', key: name };
    const removed = await this.dependencies.store.commit({
      conditions: [{ ...key, revision }],
      writes: [],
      removals: [key],
    });
    this.dependencies.journal.record('member-removed', {
      member: name,
      outcome: removed.isOk() ? 'removed' : removed.error.kind,
    });
  }
}
