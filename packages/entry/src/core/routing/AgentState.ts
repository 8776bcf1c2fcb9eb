/** Load and circuit state of one agent. */
import type { Member } from '@jacinthlug/protocol/members';
import type { TargetLoadReport } from '@jacinthlug/protocol/messages';
import { CircuitBreaker } from './CircuitBreaker.js';

/** Wait that is added to the reported wait for a fully occupied target. Unit: ms. */
const FULL_OCCUPANCY_WAIT_MS = 20;

/** State of one agent in the subset of an entry host. */
export class AgentState {
  readonly circuitBreaker = new CircuitBreaker();

  report: TargetLoadReport | undefined;

  /** Monotonic time of the last report. Unit: ms. */
  lastReportAt = 0;

  /** Number of requests sent since the last report, which does not include them. */
  sentSinceReport = 0;

  /** Abort controllers of the running attempts that are aborted when the agent is unresponsive. */
  readonly runningAttempts = new Set<AbortController>();

  constructor(public member: Member) {}

  /**
   * Applies a load report.
   *
   * @param report - load report of the agent
   * @param now - monotonic time. Unit: ms
   */
  applyReport(report: TargetLoadReport, now: number): void {
    this.report = report;
    this.lastReportAt = now;
    this.sentSinceReport = 0;
  }

  /**
   * Records that a request is sent. The last report does not include it.
   *
   * @param now - monotonic time. Unit: ms
   */
  recordSend(now: number): void {
    this.circuitBreaker.recordSend(now);
    this.sentSinceReport += 1;
  }

  /** Marks the agent as draining until its next report. */
  markDraining(): void {
    if (this.report) this.report = { ...this.report, state: 'leaving' };
  }

  /**
   * Checks whether a request may be sent to the agent.
   *
   * @param model - model that the target must serve; undefined for plain services
   * @param now - monotonic time. Unit: ms
   * @returns whether it serves the model, as far as known
   */
  isUsable(model: string | undefined, now: number): boolean {
    if (!this.circuitBreaker.allowsRequest(now)) return false;
    if (!this.report) return true;
    if (this.report.state !== 'serving') return false;
    return model === undefined || this.report.models.includes(model);
  }

  /**
   * Estimates how long a new request would wait.
   *
   * @returns the reported wait plus a small amount for occupancy, which distinguishes agents with equal waits.
   * Unit: ms
   */
  expectedWaitMs(): number {
    if (!this.report) return this.sentSinceReport * FULL_OCCUPANCY_WAIT_MS;
    const { running, waiting, concurrency, expectedWaitMs } = this.report;
    const occupancy = (running + waiting + this.sentSinceReport) / concurrency;
    return expectedWaitMs + occupancy * FULL_OCCUPANCY_WAIT_MS;
  }

  /**
   * Checks whether a new request could run without waiting.
   *
   * @returns whether the target has free capacity, as far as known
   */
  hasFreeCapacity(): boolean {
    if (!this.report) return this.sentSinceReport === 0;
    const { running, waiting, concurrency } = this.report;
    return running + waiting + this.sentSinceReport < concurrency;
  }
}
