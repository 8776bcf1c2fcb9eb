/** Exchange of load reports between hosts by datagrams. */
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
  getRemoteIntervalMs,
  selectRemoteReceivers,
  getLocalIntervalMs,
} from './reportSchedule.js';

/** Longest time between two reports to the own failure domain: four of them make a host silent. Unit: ms. */
const MAX_LOCAL_INTERVAL_MS = 350;

/** How long reports go out more often after a request of an account that is close to its rate. Unit: ms. */
const URGENT_DURATION_MS = 500;

/** Age up to which the report of another host is passed on. Unit: ms. */
const MAX_FORWARD_AGE_MS = 1000;

/** Reports of one datagram: a datagram of some 1,400 bytes travels whole. */
const MAX_REPORTS_PER_DATAGRAM = 12;

/** The part of a report that its parts of the host fill. */
export type ReportContent = Omit<
  LoadReport,
  'host' | 'incarnation' | 'sequence' | 'ageMs' | 'upMs'
>;

/** What the exchange needs. */
export interface LoadExchangeDependencies {
  readonly identity: HostIdentity;
  readonly members: Members;
  readonly journal: Journal;
  /** Gives the content of the next report. */
  readonly createContent: () => ReportContent;
  /** Takes the newest report of another host. */
  readonly onReport: (report: LoadReport) => void;
}

interface ReceivedReport {
  readonly report: LoadReport;
  /** Monotonic time at which the host wrote it. Unit: ms. */
  readonly writtenAt: number;
}

const groupByDatagram = (reports: readonly LoadReport[]): LoadReport[][] =>
  Array.from({ length: Math.ceil(reports.length / MAX_REPORTS_PER_DATAGRAM) }, (_, group) =>
    reports.slice(group * MAX_REPORTS_PER_DATAGRAM, (group + 1) * MAX_REPORTS_PER_DATAGRAM),
  );

/** Sends this host's reports, takes those of others and passes on those of its failure domain. */
export class LoadExchange {
  private readonly socket: Socket;

  private sequence = 0;

  private localTimer: NodeJS.Timeout | undefined;

  private remoteTimer: NodeJS.Timeout | undefined;

  /** Monotonic time at which the timer of the next near report ends. Unit: ms. */
  private localReportDueAt = Number.POSITIVE_INFINITY;

  /** Monotonic time of the latest near report. Unit: ms. */
  private localReportSentAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time until which reports go out more often. Unit: ms. */
  private urgentUntil = Number.NEGATIVE_INFINITY;

  /** Newest reports of hosts of the own failure domain, as they said themselves. */
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

  /** Reports soon, together with other changes. */
  scheduleReport(): void {
    const { members } = this.dependencies;
    const sinceSent = performance.now() - this.localReportSentAt;
    const intervalMs = getLocalIntervalMs(members.size, this.isUrgent);
    // A change after a quiet time is also kept for a while: seldom does one come alone.
    this.scheduleLocalReport(Math.max(intervalMs / 2, intervalMs - sinceSent));
  }

  /** Reports sooner for a while, as an account is close to its rate. */
  scheduleUrgentReport(): void {
    this.urgentUntil = performance.now() + URGENT_DURATION_MS;
    this.scheduleReport();
  }

  /**
   * Reports at once to some hosts, besides the reports that all get.
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

  /** Stops reporting. */
  stop(): void {
    clearTimeout(this.localTimer);
    clearTimeout(this.remoteTimer);
    this.localReportDueAt = Number.NEGATIVE_INFINITY;
    this.socket.close();
  }

  private get isUrgent(): boolean {
    return performance.now() < this.urgentUntil;
  }

  private scheduleLocalReport(inMs: number): void {
    const due = performance.now() + inMs;
    if (due >= this.localReportDueAt) return;
    clearTimeout(this.localTimer);
    this.localReportDueAt = due;
    this.localTimer = setTimeout(() => {
      this.localReportDueAt = Number.POSITIVE_INFINITY;
      this.localReportSentAt = performance.now();
      this.send([this.createOwnReport()], this.dependencies.members.localPeers);
      this.scheduleLocalReport(MAX_LOCAL_INTERVAL_MS);
    }, inMs);
  }

  private scheduleRemoteReport(): void {
    const intervalMs = getRemoteIntervalMs(this.dependencies.members.size, this.isUrgent);
    this.remoteTimer = setTimeout(() => {
      this.sendRemoteReport(intervalMs);
      this.scheduleRemoteReport();
    }, intervalMs);
  }

  private createOwnReport(): LoadReport {
    const { identity, createContent: describe } = this.dependencies;
    this.sequence += 1;
    return {
      host: identity.name,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      ageMs: 0,
      upMs: Math.round(performance.now()),
      ...describe(),
    };
  }

  /** Sends what the hosts of this failure domain last said to some hosts of the others. */
  private sendRemoteReport(intervalMs: number): void {
    const { identity, members } = this.dependencies;
    const now = performance.now();
    const heard = [...this.localReports.values()].filter(
      ({ writtenAt }) => now - writtenAt < MAX_FORWARD_AGE_MS,
    );
    const senders = [identity.name, ...heard.map(({ report }) => report.host)].sort();
    const receivers = selectRemoteReceivers({
      remote: members.remotePeers,
      senders: senders.length,
      rank: senders.indexOf(identity.name),
      // Wall clocks of hosts are close to each other; a clock that is not only shifts the turns of its host.
      round: Math.floor(Date.now() / intervalMs),
    });
    if (receivers.length === 0) return;
    const passedOn = heard.map(({ report, writtenAt }) => ({
      ...report,
      ageMs: Math.round(now - writtenAt),
    }));
    this.send([this.createOwnReport(), ...passedOn], receivers);
  }

  private send(reports: readonly LoadReport[], receivers: readonly Member[]): void {
    if (receivers.length === 0) return;
    groupByDatagram(reports).forEach((group) => {
      const datagram = encodeLoadReports(group);
      receivers.forEach(({ address, port }) => {
        // A lost report is made good by the next one.
        this.socket.send(datagram, port, address, () => undefined);
      });
    });
  }

  private receive(datagram: Buffer): void {
    const { journal } = this.dependencies;
    const reports = decodeLoadReports(datagram);
    if (!reports) {
      journal.record('report-failed', { cause: 'not a report', bytes: datagram.length });
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
