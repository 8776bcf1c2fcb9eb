/** Exchange of load reports between hosts by datagrams. */
import { createSocket, type Socket } from 'node:dgram';
import type { Journal } from '@jacinthlug/catalog/Journal';
import {
  decodeLoadReport,
  encodeLoadReport,
  type LoadReport,
} from '@jacinthlug/protocol/loadReport';
import type { HostIdentity } from './HostIdentity.js';
import type { Member, Members } from './Members.js';
import { farIntervalMs, NEAR_COLLECT_MS } from './reportIntervals.js';

/** Longest time between two reports. Unit: ms. */
const IDLE_INTERVAL_MS = 250;

/** The part of a report that its parts of the host fill. */
export type ReportContent = Pick<
  LoadReport,
  'storeAgeMs' | 'loads' | 'rates' | 'silent' | 'waitingItems' | 'breaks'
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

/** Sends this host's reports and takes those of others. */
export class LoadExchange {
  private readonly socket: Socket;

  private sequence = 0;

  private timer: NodeJS.Timeout | undefined;

  /** Monotonic time from which far hosts get the next report. Unit: ms. */
  private farFrom = 0;

  /** Whether the next report must reach far hosts too. */
  private urgent = false;

  /** Monotonic time at which the timer ends. Unit: ms. */
  private due = Number.POSITIVE_INFINITY;

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
    this.plan(0);
  }

  /** Reports soon, together with other changes. */
  report(): void {
    this.plan(NEAR_COLLECT_MS);
  }

  /** Reports at once, to far hosts as well. */
  reportNow(): void {
    this.urgent = true;
    this.plan(0);
  }

  /** Stops reporting. */
  stop(): void {
    clearTimeout(this.timer);
    this.due = Number.NEGATIVE_INFINITY;
    this.socket.close();
  }

  private plan(inMs: number): void {
    const due = performance.now() + inMs;
    if (due >= this.due) return;
    clearTimeout(this.timer);
    this.due = due;
    this.timer = setTimeout(() => {
      this.due = Number.POSITIVE_INFINITY;
      this.send();
      this.plan(IDLE_INTERVAL_MS);
    }, inMs);
  }

  private send(): void {
    const { identity, describe } = this.needs;
    this.sequence += 1;
    const datagram = encodeLoadReport({
      host: identity.name,
      incarnation: identity.incarnation,
      sequence: this.sequence,
      upMs: Math.round(performance.now()),
      ...describe(),
    });
    this.receivers().forEach(({ address, port }) => {
      // A lost report is made good by the next one.
      this.socket.send(datagram, port, address, () => undefined);
    });
  }

  /** Hosts that get the next report: those nearby, and the others when their time has come. */
  private receivers(): Member[] {
    const { identity, members } = this.needs;
    const { peers } = members;
    const now = performance.now();
    if (!this.urgent && now < this.farFrom) {
      return peers.filter(({ failureDomain }) => failureDomain === identity.failureDomain);
    }
    this.urgent = false;
    this.farFrom = now + farIntervalMs(peers, identity.failureDomain);
    return peers;
  }

  private receive(datagram: Buffer): void {
    const { identity, members, onReport, journal } = this.needs;
    const report = decodeLoadReport(datagram);
    if (!report) {
      journal.record('report-failed', { cause: 'not a report', bytes: datagram.length });
      return;
    }
    if (report.host !== identity.name && members.hear(report)) onReport(report);
  }
}
