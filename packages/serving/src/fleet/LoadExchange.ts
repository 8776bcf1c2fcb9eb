/** Exchange of load reports between hosts over UDP. */
import { createSocket, type Socket } from 'node:dgram';
import type { Journal } from '@jacinthlug/catalog/Journal';
import {
  decodeLoadReports,
  encodeLoadReports,
  type LoadReport,
} from '@jacinthlug/protocol/loadReport';
import type { HostIdentity } from './HostIdentity.js';
import type { Member, Members } from './Members.js';
import {
  getLocalIntervalMs,
  getRemoteIntervalMs,
  selectRemoteReceivers,
} from './reportSchedule.js';

/**
 * Maximum interval of reports within the failure domain. A host that sends no report for four intervals counts as
 * unresponsive. Unit: ms.
 */
const MAX_LOCAL_INTERVAL_MS = 350;

/** Duration of the shorter report intervals after a request of an account that is close to its rate limit. Unit: ms. */
const URGENT_DURATION_MS = 500;

/** Maximum age at which the report of another host is forwarded. Unit: ms. */
const MAX_FORWARD_AGE_MS = 1000;

/** Maximum number of reports in a datagram; a datagram of some 1,400 bytes is not fragmented. */
const MAX_REPORTS_PER_DATAGRAM = 12;

/** The fields of a report that {@link LoadExchange} does not set itself. */
export type ReportContent = Omit<
  LoadReport,
  'host' | 'incarnation' | 'sequence' | 'ageMs' | 'upMs'
>;

/** Dependencies of {@link LoadExchange}. */
export interface LoadExchangeDependencies {
  readonly identity: HostIdentity;
  readonly members: Members;
  readonly journal: Journal;
  /** Creates the content of the next report. */
  readonly createContent: () => ReportContent;
  /** Called with each new report of another host. */
  readonly onReport: (report: LoadReport) => void;
}

interface ReceivedReport {
  readonly report: LoadReport;
  /** Monotonic time at which the host created it. Unit: ms. */
  readonly writtenAt: number;
}

const groupByDatagram = (reports: readonly LoadReport[]): LoadReport[][] =>
  Array.from({ length: Math.ceil(reports.length / MAX_REPORTS_PER_DATAGRAM) }, (_, group) =>
    reports.slice(group * MAX_REPORTS_PER_DATAGRAM, (group + 1) * MAX_REPORTS_PER_DATAGRAM),
  );

/** Sends this host's reports, receives those of other hosts, and forwards those of its own failure domain. */
export class LoadExchange {
  private readonly socket: Socket;

  private sequence = 0;

  private localTimer: NodeJS.Timeout | undefined;

  private remoteTimer: NodeJS.Timeout | undefined;

  /** Monotonic time of the next report within the failure domain. Unit: ms. */
  private localReportDueAt = Number.POSITIVE_INFINITY;

  /** Monotonic time of the last report within the failure domain. Unit: ms. */
  private localReportSentAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time until which the shorter report intervals apply. Unit: ms. */
  private urgentUntil = Number.NEGATIVE_INFINITY;

  /** Latest report of each other host of this failure domain, received from the host itself, by host name. */
  private readonly localReports = new Map<string, ReceivedReport>();

  constructor(private readonly dependencies: LoadExchangeDependencies) {
    this.socket = createSocket('udp4');
    this.socket.on('message', (datagram) => this.receive(datagram));
    this.socket.on('error', (err) =>
      dependencies.journal.record('report-failed', { cause: err.message }),
    );
  }

  /** Opens the socket and starts reporting. */
  async start(): Promise<void> {
    const { address, port } = this.dependencies.identity;
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, address, resolve);
    });
    this.scheduleLocalReport(0);
    this.scheduleRemoteReport();
  }

  /** Schedules a report within the failure domain; changes until then are sent together. */
  scheduleReport(): void {
    const { members } = this.dependencies;
    const sinceSent = performance.now() - this.localReportSentAt;
    const intervalMs = getLocalIntervalMs(members.fleetSize, this.isUrgent);
    // After an idle period too, the first change waits for half an interval, as others usually follow it.
    this.scheduleLocalReport(Math.max(intervalMs / 2, intervalMs - sinceSent));
  }

  /** Shortens the report intervals for a while, as an account is close to its rate limit. */
  scheduleUrgentReport(): void {
    this.urgentUntil = performance.now() + URGENT_DURATION_MS;
    this.scheduleReport();
  }

  /**
   * Sends a report to some hosts immediately, in addition to the scheduled reports.
   *
   * @param names - names of hosts
   */
  sendReportTo(names: readonly string[]): void {
    if (names.length === 0) return;
    const { peers } = this.dependencies.members;
    this.send(
      [this.createOwnReport()],
      peers.filter(({ name }) => names.includes(name)),
    );
  }

  /** Stops reporting and closes the socket. */
  stop(): void {
    clearTimeout(this.localTimer);
    clearTimeout(this.remoteTimer);
    // Prevents further reports from being scheduled, as none can be due earlier.
    this.localReportDueAt = Number.NEGATIVE_INFINITY;
    this.socket.close();
  }

  private get isUrgent(): boolean {
    return performance.now() < this.urgentUntil;
  }

  private scheduleLocalReport(delayMs: number): void {
    const dueAt = performance.now() + delayMs;
    if (dueAt >= this.localReportDueAt) return;
    clearTimeout(this.localTimer);
    this.localReportDueAt = dueAt;
    this.localTimer = setTimeout(() => {
      this.localReportDueAt = Number.POSITIVE_INFINITY;
      this.localReportSentAt = performance.now();
      this.send([this.createOwnReport()], this.dependencies.members.localPeers);
      this.scheduleLocalReport(MAX_LOCAL_INTERVAL_MS);
    }, delayMs);
  }

  private scheduleRemoteReport(): void {
    const intervalMs = getRemoteIntervalMs(this.dependencies.members.fleetSize, this.isUrgent);
    this.remoteTimer = setTimeout(() => {
      this.sendRemoteReport(intervalMs);
      this.scheduleRemoteReport();
    }, intervalMs);
  }

  private createOwnReport(): LoadReport {
    const { identity, createContent } = this.dependencies;
    this.sequence += 1;
    return {
      host: identity.name,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      ageMs: 0,
      upMs: Math.round(performance.now()),
      ...createContent(),
    };
  }

  /** Sends the latest reports of all hosts of this failure domain to some hosts of other failure domains. */
  private sendRemoteReport(intervalMs: number): void {
    const { identity, members } = this.dependencies;
    const now = performance.now();
    const recent = [...this.localReports.values()].filter(
      ({ writtenAt }) => now - writtenAt < MAX_FORWARD_AGE_MS,
    );
    const senders = [identity.name, ...recent.map(({ report }) => report.host)].sort();
    const receivers = selectRemoteReceivers({
      remote: members.remotePeers,
      senders: senders.length,
      rank: senders.indexOf(identity.name),
      // The wall clocks of hosts are nearly synchronous; a deviating clock only shifts the receivers of its host.
      round: Math.floor(Date.now() / intervalMs),
    });
    if (receivers.length === 0) return;
    const forwarded = recent.map(({ report, writtenAt }) => ({
      ...report,
      ageMs: Math.round(now - writtenAt),
    }));
    this.send([this.createOwnReport(), ...forwarded], receivers);
  }

  private send(reports: readonly LoadReport[], receivers: readonly Member[]): void {
    if (receivers.length === 0) return;
    groupByDatagram(reports).forEach((group) => {
      const datagram = encodeLoadReports(group);
      receivers.forEach(({ address, port }) => {
        // Errors are ignored: the next report replaces a lost one.
        this.socket.send(datagram, port, address, () => undefined);
      });
    });
  }

  private receive(datagram: Buffer): void {
    const { journal } = this.dependencies;
    const reports = decodeLoadReports(datagram);
    if (!reports) {
      journal.record('report-failed', { cause: 'invalid load report', bytes: datagram.length });
      return;
    }
    const now = performance.now();
    reports.forEach((report) => this.applyReport(report, now));
  }

  private applyReport(report: LoadReport, now: number): void {
    const { identity, members, onReport } = this.dependencies;
    if (report.host === identity.name || !members.applyReport(report, now)) return;
    if (members.isLocal(report.host)) {
      this.localReports.set(report.host, { report, writtenAt: now - report.ageMs });
    }
    onReport(report);
  }
}
