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
import { farIntervalMs, farReceivers, nearIntervalMs } from './reportPlan.js';

/** Longest time between two reports to the own failure domain: four of them make a host silent. Unit: ms. */
const IDLE_INTERVAL_MS = 350;

/** How long reports go out more often after a request of an account that is close to its rate. Unit: ms. */
const URGENT_MS = 500;

/** Age up to which the report of another host is passed on. Unit: ms. */
const PASSED_ON_WITHIN_MS = 1000;

/** Reports of one datagram: a datagram of some 1,400 bytes travels whole. */
const REPORTS_AT_ONCE = 12;

/** The part of a report that its parts of the host fill. */
export type ReportContent = Omit<
  LoadReport,
  'host' | 'incarnation' | 'sequence' | 'ageMs' | 'upMs'
>;

/** What the exchange needs. */
export interface LoadExchangeNeeds {
  readonly identity: HostIdentity;
  readonly members: Members;
  readonly journal: Journal;
  /** Gives the content of the next report. */
  readonly describe: () => ReportContent;
  /** Takes the newest report of another host. */
  readonly onReport: (report: LoadReport) => void;
}

interface HeardReport {
  readonly report: LoadReport;
  /** Monotonic time at which the host wrote it. Unit: ms. */
  readonly writtenAt: number;
}

const inGroups = (reports: readonly LoadReport[]): LoadReport[][] =>
  Array.from({ length: Math.ceil(reports.length / REPORTS_AT_ONCE) }, (_, group) =>
    reports.slice(group * REPORTS_AT_ONCE, (group + 1) * REPORTS_AT_ONCE),
  );

/** Sends this host's reports, takes those of others and passes on those of its failure domain. */
export class LoadExchange {
  private readonly socket: Socket;

  private sequence = 0;

  private nearTimer: NodeJS.Timeout | undefined;

  private farTimer: NodeJS.Timeout | undefined;

  /** Monotonic time at which the timer of the next near report ends. Unit: ms. */
  private nearDue = Number.POSITIVE_INFINITY;

  /** Monotonic time of the latest near report. Unit: ms. */
  private nearSentAt = Number.NEGATIVE_INFINITY;

  /** Monotonic time until which reports go out more often. Unit: ms. */
  private urgentUntil = Number.NEGATIVE_INFINITY;

  /** Newest reports of hosts of the own failure domain, as they said themselves. */
  private readonly nearReports = new Map<string, HeardReport>();

  constructor(private readonly needs: LoadExchangeNeeds) {
    this.socket = createSocket('udp4');
    this.socket.on('message', (datagram) => this.receive(datagram));
    this.socket.on('error', (err) => needs.journal.record('report-failed', { cause: err.message }));
  }

  /** Opens the socket and starts reporting. */
  async start(): Promise<void> {
    const { address, port } = this.needs.identity;
    await new Promise<void>((resolve, reject) => {
      this.socket.once('error', reject);
      this.socket.bind(port, address, resolve);
    });
    this.planNear(0);
    this.planFar();
  }

  /** Reports soon, together with other changes. */
  report(): void {
    const { members } = this.needs;
    const sinceSent = performance.now() - this.nearSentAt;
    const intervalMs = nearIntervalMs(members.size, this.isUrgent);
    // A change after a quiet time is also kept for a while: seldom does one come alone.
    this.planNear(Math.max(intervalMs / 2, intervalMs - sinceSent));
  }

  /** Reports sooner for a while, as an account is close to its rate. */
  reportUrgently(): void {
    this.urgentUntil = performance.now() + URGENT_MS;
    this.report();
  }

  /**
   * Reports at once to some hosts, besides the reports that all get.
   *
   * @param names - names of hosts
   */
  reportTo(names: readonly string[]): void {
    if (names.length === 0) return;
    const { peers } = this.needs.members;
    this.send(
      [this.describeOwn()],
      peers.filter(({ name }) => names.includes(name)),
    );
  }

  /** Stops reporting. */
  stop(): void {
    clearTimeout(this.nearTimer);
    clearTimeout(this.farTimer);
    this.nearDue = Number.NEGATIVE_INFINITY;
    this.socket.close();
  }

  private get isUrgent(): boolean {
    return performance.now() < this.urgentUntil;
  }

  private planNear(inMs: number): void {
    const due = performance.now() + inMs;
    if (due >= this.nearDue) return;
    clearTimeout(this.nearTimer);
    this.nearDue = due;
    this.nearTimer = setTimeout(() => {
      this.nearDue = Number.POSITIVE_INFINITY;
      this.nearSentAt = performance.now();
      this.send([this.describeOwn()], this.needs.members.near);
      this.planNear(IDLE_INTERVAL_MS);
    }, inMs);
  }

  private planFar(): void {
    const intervalMs = farIntervalMs(this.needs.members.size, this.isUrgent);
    this.farTimer = setTimeout(() => {
      this.passOn(intervalMs);
      this.planFar();
    }, intervalMs);
  }

  private describeOwn(): LoadReport {
    const { identity, describe } = this.needs;
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
  private passOn(intervalMs: number): void {
    const { identity, members } = this.needs;
    const now = performance.now();
    const heard = [...this.nearReports.values()].filter(
      ({ writtenAt }) => now - writtenAt < PASSED_ON_WITHIN_MS,
    );
    const senders = [identity.name, ...heard.map(({ report }) => report.host)].sort();
    const receivers = farReceivers({
      far: members.far,
      senders: senders.length,
      rank: senders.indexOf(identity.name),
      // Wall clocks of hosts are close to each other; a clock that is not only shifts the turns of its host.
      pass: Math.floor(Date.now() / intervalMs),
    });
    if (receivers.length === 0) return;
    const passedOn = heard.map(({ report, writtenAt }) => ({
      ...report,
      ageMs: Math.round(now - writtenAt),
    }));
    this.send([this.describeOwn(), ...passedOn], receivers);
  }

  private send(reports: readonly LoadReport[], receivers: readonly Member[]): void {
    if (receivers.length === 0) return;
    inGroups(reports).forEach((group) => {
      const datagram = encodeLoadReports(group);
      receivers.forEach(({ address, port }) => {
        // A lost report is made good by the next one.
        this.socket.send(datagram, port, address, () => undefined);
      });
    });
  }

  private receive(datagram: Buffer): void {
    const { journal } = this.needs;
    const reports = decodeLoadReports(datagram);
    if (!reports) {
      journal.record('report-failed', { cause: 'not a report', bytes: datagram.length });
      return;
    }
    const now = performance.now();
    reports.forEach((report) => this.take(report, now));
  }

  private take(report: LoadReport, now: number): void {
    const { identity, members, onReport } = this.needs;
    if (report.host === identity.name || !members.hear(report, now)) return;
    if (members.isNear(report.host)) {
      this.nearReports.set(report.host, { report, writtenAt: now - report.ageMs });
    }
    onReport(report);
  }
}
