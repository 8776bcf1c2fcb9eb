/** The hosts of the fleet: their rows in the store and the state that they report. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import * as z from 'zod';
import { KEY_FORMATS, type KeyFormat } from '../batch/jobKeys.js';
import { parseJson } from '../store/parseJson.js';
import type { RecordChange, RecordStore, StoredRecord } from '../store/RecordStore.js';
import type { TableListener } from '../store/TableFollower.js';
import { chooseHolder, selectCapableHosts, type WorkerCandidate } from './capableHosts.js';
import type { HostIdentity } from './HostIdentity.js';
import type { FleetSize } from './reportSchedule.js';

/** Table with one row for each host. */
export const MEMBERS_TABLE = 'members';

/**
 * Time without reports after which a host counts as unresponsive: its share of the rates stays unused and its loads
 * are ignored. Reports arrive at least every 350 ms, from other failure domains some 250 ms later, so two or three of
 * them may be lost. Unit: ms.
 */
const REPORT_TIMEOUT_MS = 1500;

/**
 * Time without reports after which a host's batch jobs are taken over. After a shorter pause, or some lost reports, a
 * host continues its runs, and a takeover would run these items twice. Unit: ms.
 */
const TAKEOVER_TIMEOUT_MS = 2500;

/**
 * How long this host must have had contact with the store again before it takes over the jobs of a host that reports no
 * contact. After an outage, hosts regain the store one after the other. Unit: ms.
 */
const STORE_RECOVERY_MS = 3000;

/**
 * Maximum time since the last contact with the store. Beyond it a host starts no batch items, as it could not record
 * their results, and other hosts take over its jobs. Unit: ms.
 */
export const STORE_CONTACT_TIMEOUT_MS = 3500;

/**
 * Time without reports after which the row of a host is removed. A host without contact to the store stops accepting
 * requests with API keys after 4.5 s, so its share of the rates can be reassigned by then. Unit: ms.
 */
const REMOVAL_TIMEOUT_MS = 10_000;

const MAX_PORT = 65_535;

const memberRow = z.object({
  address: z.ipv4(),
  port: z.int().min(1).max(MAX_PORT),
  incarnation: z.number(),
  failureDomain: z.string(),
  /** Number of CPU cores available to the process. */
  cores: z.number().positive().default(1),
  /** Newest format of the keys of batch jobs that the host supports; absent in rows of earlier versions of the host. */
  keyFormat: z.enum(KEY_FORMATS).catch('joined'),
});

type MemberRow = z.infer<typeof memberRow>;

/** A host as described by its row. */
export interface Member extends MemberRow {
  readonly name: string;
  readonly revision: number;
}

interface RegisteredProcess {
  readonly incarnation: number;
  /** Monotonic time at which this host read the row. Unit: ms. */
  readonly registeredAt: number;
  /** Whether the row contained another incarnation before. */
  readonly isSuccessor: boolean;
}

interface RowRead {
  readonly revision: number;
  /** Monotonic time. Unit: ms. */
  readonly readAt: number;
}

interface ReportedState {
  readonly incarnation: number;
  /** Monotonic time at which the process started, according to its reports. Unit: ms. */
  readonly startedAt: number;
  readonly sequence: number;
  /** Monotonic time of the last report. Unit: ms. */
  readonly reportedAt: number;
  readonly storeAgeMs: number;
  readonly isStopping: boolean;
}

/** State of this host itself, used to check whether another host has failed. */
export interface OwnState {
  /** Time since it regained the store; infinite if it never lost it. Unit: ms. */
  readonly storeRegainedMsAgo: number;
  /** Time since the start of the process. Unit: ms. */
  readonly upMs: number;
}

/** Dependencies of {@link Members}. */
export interface MembersDependencies {
  readonly identity: HostIdentity;
  readonly store: RecordStore;
  readonly journal: Journal;
}

/** Tracks the rows of all hosts and their last reports. */
export class Members implements TableListener {
  private readonly members = new Map<string, Member>();

  private readonly reportedStates = new Map<string, ReportedState>();

  /** The process in the row of each host, by host name. */
  private readonly registeredProcesses = new Map<string, RegisteredProcess>();

  /** Other hosts of this failure domain, sorted by name. */
  private localMembers: Member[] = [];

  /** Hosts of other failure domains, sorted by name. */
  private remoteMembers: Member[] = [];

  /** When this host read the present row of each host. */
  private readonly rowReads = new Map<string, RowRead>();

  private isRegistering = false;

  /** Whether rows of unresponsive hosts are being removed. */
  private isRemoving = false;

  /** Revision of this host's own row, valid or not; 0 if there is none. */
  private ownRevision = 0;

  /** Whether this host is stopping and takes no more jobs. */
  isStopping = false;

  constructor(private readonly dependencies: MembersDependencies) {}

  replace(records: readonly StoredRecord[], _revision: number, now = performance.now()): void {
    this.members.clear();
    this.ownRevision = 0;
    records.forEach((record) => this.applyRecord(record, now));
    this.updatePeers();
    this.ensureOwnRow();
  }

  apply(changes: readonly RecordChange[], now = performance.now()): void {
    changes.forEach((change) => {
      if (change.kind === 'written') this.applyRecord(change.record, now);
      else this.removeMember(change.key.key);
    });
    this.updatePeers();
    this.ensureOwnRow();
  }

  /**
   * Applies a report of another host.
   *
   * @param report - the report
   * @param now - monotonic time. Unit: ms
   * @returns true if it is newer than the previous report
   */
  applyReport(report: LoadReport, now = performance.now()): boolean {
    const { host, incarnation, sequence, ageMs, upMs, storeAgeMs, isStopping } = report;
    const before = this.reportedStates.get(host);
    const reportedAt = now - ageMs;
    const startedAt = reportedAt - upMs;
    if (before?.incarnation === incarnation) {
      if (sequence <= before.sequence) return false;
    } else if (before && startedAt < before.startedAt) {
      return false;
    }
    this.reportedStates.set(host, {
      incarnation,
      startedAt,
      sequence,
      reportedAt,
      storeAgeMs,
      isStopping,
    });
    return true;
  }

  /**
   * All other hosts.
   *
   * @returns their rows
   */
  get peers(): Member[] {
    return [...this.localMembers, ...this.remoteMembers];
  }

  /**
   * Other hosts of this failure domain.
   *
   * @returns their rows, sorted by name
   */
  get localPeers(): readonly Member[] {
    return this.localMembers;
  }

  /**
   * Hosts of other failure domains.
   *
   * @returns their rows, sorted by name
   */
  get remotePeers(): readonly Member[] {
    return this.remoteMembers;
  }

  /**
   * Numbers of other hosts.
   *
   * @returns number in this failure domain, and number in all others
   */
  get fleetSize(): FleetSize {
    return { local: this.localMembers.length, remote: this.remoteMembers.length };
  }

  /**
   * Checks whether a host is in this failure domain.
   *
   * @param name - name of the host
   * @returns false for unknown hosts
   */
  isLocal(name: string): boolean {
    return this.members.get(name)?.failureDomain === this.dependencies.identity.failureDomain;
  }

  /**
   * Returns the time for which other hosts can have known of this process by its row.
   *
   * @param now - monotonic time. Unit: ms
   * @returns time since this host read its own row; 0 without one. Unit: ms
   */
  timeSinceRegistration(now = performance.now()): number {
    const { name, incarnation } = this.dependencies.identity;
    if (this.members.get(name)?.incarnation !== incarnation) return 0;
    return now - (this.rowReads.get(name)?.readAt ?? now);
  }

  /**
   * Returns the share of all rates that this host and the hosts it can reach may use.
   *
   * @param now - monotonic time. Unit: ms
   * @returns number of responsive hosts, including this host, divided by the number of all hosts
   */
  share(now = performance.now()): number {
    const { peers } = this;
    const responsive = peers.filter(({ name }) => this.isResponsive(name, now)).length;
    return (1 + responsive) / (1 + peers.length);
  }

  /**
   * Finds the newest format of the keys of batch jobs that all hosts support. While hosts are updated, some of them would
   * not find jobs with other keys.
   *
   * @returns the format; the oldest one until this host has read its own row, and with it those of others
   */
  findKeyFormat(): KeyFormat {
    const { identity } = this.dependencies;
    const isRegistered = this.members.get(identity.name)?.incarnation === identity.incarnation;
    if (!isRegistered) return 'joined';
    const oldest = Math.max(
      ...[...this.members.values()].map(({ keyFormat }) => KEY_FORMATS.indexOf(keyFormat)),
    );
    return KEY_FORMATS[oldest]!;
  }

  /**
   * Checks whether a process of a host can take jobs.
   *
   * @param name - name of the host
   * @param incarnation - incarnation of the process
   * @param now - monotonic time. Unit: ms
   * @returns true if it is responsive, has contact with the store and is not stopping
   */
  isAvailable(name: string, incarnation: number, now = performance.now()): boolean {
    const { identity } = this.dependencies;
    if (name === identity.name) return incarnation === identity.incarnation && !this.isStopping;
    const reported = this.reportedStates.get(name);
    if (!reported || reported.isStopping || !this.isResponsive(name, now)) return false;
    return reported.incarnation === incarnation && reported.storeAgeMs < STORE_CONTACT_TIMEOUT_MS;
  }

  /**
   * Checks whether other hosts may take over the work of a process: it has ended, has been unresponsive for too long,
   * or has lost the store while this host has contact.
   *
   * @param name - name of the host
   * @param incarnation - incarnation of the process
   * @param own - state of this host
   * @param now - monotonic time. Unit: ms
   * @returns false while the process may still be working
   */
  hasFailed(
    name: string,
    incarnation: number,
    { storeRegainedMsAgo, upMs }: OwnState,
    now = performance.now(),
  ): boolean {
    const { identity } = this.dependencies;
    if (name === identity.name) return incarnation !== identity.incarnation;
    const reported = this.reportedStates.get(name);
    // If this process has just started, it has not received any reports yet.
    if (!reported) return upMs > TAKEOVER_TIMEOUT_MS;
    const registered = this.registeredProcesses.get(name);
    const isRegistered = registered?.incarnation === incarnation;
    if (reported.incarnation !== incarnation) {
      // A registered process may just have replaced the one that sent the last report.
      return !isRegistered || now - registered.registeredAt > TAKEOVER_TIMEOUT_MS;
    }
    const isReplaced =
      registered?.isSuccessor && !isRegistered && registered.registeredAt > reported.startedAt;
    if (isReplaced) return true;
    if (now - reported.reportedAt > TAKEOVER_TIMEOUT_MS) return true;
    return reported.storeAgeMs > STORE_CONTACT_TIMEOUT_MS && storeRegainedMsAgo > STORE_RECOVERY_MS;
  }

  /**
   * Lists the hosts that can take over work, including this host.
   *
   * @param now - monotonic time. Unit: ms
   * @param isPermitted - whether hosts of a failure domain may have the work
   * @returns names of the available hosts with enough cores
   */
  listWorkers(
    now = performance.now(),
    isPermitted: (failureDomain: string) => boolean = () => true,
  ): string[] {
    const candidates = this.listCandidates([this.dependencies.identity, ...this.peers], now).filter(
      ({ failureDomain }) => isPermitted(failureDomain),
    );
    if (candidates.length === 0) return [];
    return selectCapableHosts(candidates).map(({ name }) => name);
  }

  /**
   * Chooses the host that runs a job accepted by this host. A stopping host still accepts jobs, as requests arrive
   * until load balancers notice, but another host runs them.
   *
   * @param job - id of the job
   * @param now - monotonic time. Unit: ms
   * @param isPermitted - whether other hosts of a failure domain may have the job
   * @returns name and incarnation; null if no local host can take the job, so any host may claim it
   */
  assignHolder(
    job: string,
    now = performance.now(),
    isPermitted: (failureDomain: string) => boolean = () => true,
  ): [string, number] | null {
    const { identity } = this.dependencies;
    const others = isPermitted(identity.failureDomain) ? this.localPeers : [];
    const holder = chooseHolder(job, identity, this.listCandidates([identity, ...others], now));
    return holder ? [holder.name, holder.incarnation] : null;
  }

  /**
   * Removes the rows of hosts that have been unresponsive for too long. Hosts send reports to those whose rows they have
   * read, so that without its own row this host hears nobody, and can't tell whether others are responsive.
   *
   * @param now - monotonic time. Unit: ms
   * @returns names of all unresponsive hosts that have reported before, so that the caller can remove their loads
   */
  async removeUnresponsive(now = performance.now()): Promise<string[]> {
    // Calls come at an interval, which may be shorter than the removals take.
    if (!this.isRemoving) {
      this.isRemoving = true;
      const silent = this.peers.filter(({ name }) => this.isSilent(name, now));
      for (const member of silent) await this.removeRow(member);
      this.isRemoving = false;
    }
    // Includes hosts that have left the fleet and have no row.
    return [...this.reportedStates.keys()].filter((name) => !this.isResponsive(name, now));
  }

  /** Writes this host's row if it is missing, invalid or from an earlier process. A failed write is retried on the next call. */
  ensureOwnRow(): void {
    const { identity, store, journal } = this.dependencies;
    const own = this.members.get(identity.name);
    if (this.isRegistering || own?.incarnation === identity.incarnation) return;
    this.isRegistering = true;
    const { address, port, incarnation, failureDomain, cores } = identity;
    const [keyFormat] = KEY_FORMATS;
    const row: MemberRow = { address, port, incarnation, failureDomain, cores, keyFormat };
    const key = { table: MEMBERS_TABLE, partition: '', key: identity.name };
    void store
      .commit({
        conditions: [{ ...key, revision: this.ownRevision }],
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

  /** Removes this host's row, so that other hosts can use its share of the rates immediately. */
  async removeOwnRow(): Promise<void> {
    const own = this.members.get(this.dependencies.identity.name);
    // Keeps `ensureOwnRow` from writing the row again.
    this.isRegistering = true;
    if (own) await this.removeRow(own);
  }

  private updatePeers(): void {
    const { identity } = this.dependencies;
    const others = [...this.members.values()]
      .filter(({ name }) => name !== identity.name)
      .sort((a, b) => (a.name < b.name ? -1 : 1));
    const isLocal = ({ failureDomain }: Member): boolean =>
      failureDomain === identity.failureDomain;
    this.localMembers = others.filter(isLocal);
    this.remoteMembers = others.filter((member) => !isLocal(member));
  }

  /** Selects those hosts that can take jobs. */
  private listCandidates<Host extends WorkerCandidate>(
    hosts: readonly Host[],
    now: number,
  ): Host[] {
    return hosts.filter(({ name, incarnation }) => this.isAvailable(name, incarnation, now));
  }

  private isResponsive(name: string, now: number): boolean {
    return (
      now - (this.reportedStates.get(name)?.reportedAt ?? Number.NEGATIVE_INFINITY) <
      REPORT_TIMEOUT_MS
    );
  }

  /** Checks whether a host has sent no report for a long time, though it could have sent one to this host. */
  private isSilent(name: string, now: number): boolean {
    const { identity } = this.dependencies;
    if (this.members.get(identity.name)?.incarnation !== identity.incarnation) return false;
    const since = Math.max(
      this.reportedStates.get(name)?.reportedAt ?? Number.NEGATIVE_INFINITY,
      this.rowReads.get(identity.name)?.readAt ?? now,
      this.rowReads.get(name)?.readAt ?? now,
    );
    return now - since > REMOVAL_TIMEOUT_MS;
  }

  private removeMember(name: string): void {
    this.members.delete(name);
    if (name === this.dependencies.identity.name) this.ownRevision = 0;
  }

  private applyRecord(record: StoredRecord, now: number): void {
    this.removeMember(record.key);
    if (record.key === this.dependencies.identity.name) this.ownRevision = record.revision;
    const row = memberRow.safeParse(parseJson(record.value));
    if (!row.success) {
      this.dependencies.journal.record('record-unreadable', {
        table: MEMBERS_TABLE,
        key: record.key,
      });
      return;
    }
    // The table is read anew after an outage; rows that are still the same keep their time.
    if (this.rowReads.get(record.key)?.revision !== record.revision)
      this.rowReads.set(record.key, { revision: record.revision, readAt: now });
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
