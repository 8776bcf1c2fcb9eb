/** The answer that a caller gets, which may come from several targets one after the other. */
import type { ServerResponse } from 'node:http';
import type { AnswerSink } from './AnswerSink.js';
import { EventSequence } from './EventSequence.js';

/** Writes one answer to a caller. */
export class CallerAnswer implements AnswerSink {
  private readonly events = new EventSequence();

  private splits = false;

  private writes = 0;

  /** Monotonic time of the first and the latest write. Unit: ms. */
  private firstAt: number | undefined;

  private latestAt = 0;

  /** Longest time between two writes. Unit: ms. */
  longestPauseMs = 0;

  constructor(
    private readonly response: ServerResponse,
    /** Whether only whole events are passed on, so that another target can continue the stream. */
    private readonly byEvent: boolean,
  ) {}

  get started(): boolean {
    return this.response.headersSent;
  }

  get lastEventId(): string | undefined {
    return this.events.lastEventId;
  }

  get progress(): number {
    return this.splits ? this.events.count : this.writes;
  }

  get isTorn(): boolean {
    return this.splits && this.events.isTorn;
  }

  get isUnusable(): boolean {
    return this.splits && this.events.isUnusable;
  }

  /**
   * Tells whether another target may go on with the answer.
   *
   * @returns whether nothing was passed on, or whole events only
   */
  get canContinue(): boolean {
    return !this.started || this.splits;
  }

  /** Writes status and headers of the first target only. */
  begin(status: number, headers: Record<string, string | string[]>): void {
    this.splits = this.byEvent && status === 200;
    this.events.beginAnswer();
    if (!this.started) this.response.writeHead(status, headers);
  }

  write(chunk: Buffer): boolean {
    if (!this.splits) {
      this.writes += 1;
      return this.pass(chunk);
    }
    const events = this.events.push(chunk);
    if (events.length === 0) return true;
    const [first, ...more] = events.map(({ bytes }) => bytes);
    return this.pass(more.length === 0 ? first! : Buffer.concat([first!, ...more]));
  }

  /**
   * Tells how long the first part of the answer took.
   *
   * @param since - monotonic time from which it counts. Unit: ms
   * @returns time to the first write; nothing when there was none. Unit: ms
   */
  firstAfterMs(since: number): number | undefined {
    return this.firstAt === undefined ? undefined : this.firstAt - since;
  }

  onceDrained(resume: () => void): void {
    this.response.once('drain', resume);
  }

  private pass(bytes: Buffer): boolean {
    const now = performance.now();
    if (this.firstAt === undefined) this.firstAt = now;
    else this.longestPauseMs = Math.max(this.longestPauseMs, now - this.latestAt);
    this.latestAt = now;
    return this.response.write(bytes);
  }

  /** Ends the answer as complete. */
  end(): void {
    this.response.end();
  }

  /** Breaks the connection, so that the answer does not look complete. */
  cut(): void {
    this.response.destroy();
  }
}
