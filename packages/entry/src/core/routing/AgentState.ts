/** What an entry host knows about one agent. */
import type { Member } from '@jacinthlug/protocol/members';
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';
import { CircuitBreaker } from './CircuitBreaker.js';

/** Expected wait that a fully occupied target is taken to add beyond its report. Unit: ms. */
const FULL_OCCUPANCY_WAIT_MS = 20;

/** What an entry host knows about one agent of its subset. */
export class AgentState {
  readonly circuitBreaker = new CircuitBreaker();

  report: TargetLoadReport | undefined;

  /** Monotonic time of the last report. Unit: ms. */
  lastReportAt = 0;

  /** Requests sent since the last report, which it does not count yet. */
  sentSinceReport = 0;

  /** Aborts the attempts that run at the agent. */
  readonly runningAttempts = new Set<AbortController>();

  constructor(public member: Member) {}

  /**
   * Takes over a load report.
   *
   * @param report - load as the agent tells it
   * @param now - monotonic time. Unit: ms
   */
  applyReport(report: TargetLoadReport, now: number): void {
    this.report = report;
    this.lastReportAt = now;
    this.sentSinceReport = 0;
  }

  /**
   * Notes that a request is sent, which the last report does not know of.
   *
   * @param now - monotonic time. Unit: ms
   */
  recordSend(now: number): void {
    this.circuitBreaker.recordSend(now);
    this.sentSinceReport += 1;
  }

  /** Notes that the agent takes no new work; the next report may tell otherwise. */
  markDraining(): void {
    if (this.report) this.report = { ...this.report, state: 'leaving' };
  }

  /**
   * Tells whether the agent may get a request.
   *
   * @param model - model that the target must serve; undefined for plain services
   * @param now - monotonic time. Unit: ms
   * @returns whether it serves, as far as known
   */
  isUsable(model: string | undefined, now: number): boolean {
    if (!this.circuitBreaker.allowsRequest(now)) return false;
    if (!this.report) return true;
    if (this.report.state !== 'serving') return false;
    return model === undefined || this.report.models.includes(model);
  }

  /**
   * Estimates the wait of a new request.
   *
   * @returns the reported wait, with a small part for occupancy so that equal waits are told apart. Unit: ms
   */
  expectedWaitMs(): number {
    if (!this.report) return this.sentSinceReport * FULL_OCCUPANCY_WAIT_MS;
    const { running, waiting, concurrency, expectedWaitMs } = this.report;
    const occupancy = (running + waiting + this.sentSinceReport) / concurrency;
    return expectedWaitMs + occupancy * FULL_OCCUPANCY_WAIT_MS;
  }

  /**
   * Tells whether a new request would find a free place.
   *
   * @returns whether the target has room, as far as known
   */
  hasFreeCapacity(): boolean {
    if (!this.report) return this.sentSinceReport === 0;
    const { running, waiting, concurrency } = this.report;
    return running + waiting + this.sentSinceReport < concurrency;
  }
}
