/** Continuous batching: each step generates one token for every running stream. */

/** A stream in the batch. */
export interface BatchedStream {
  /** Monotonic time at which the prefill ends. Unit: ms. */
  readonly firstTokenAt: number;
  isSuspended: boolean;
  /**
   * Generates the next token.
   *
   * @returns whether the stream continues
   */
  step(): boolean;
}

/** Durations that determine the time per step. */
export interface BatchTimings {
  readonly tokenMs: number;
  readonly tokenMsPerRunning: number;
}

/** Runs streams concurrently; the time per token grows with their number. */
export class ContinuousBatch {
  private readonly streams = new Set<BatchedStream>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly timings: BatchTimings) {}

  get running(): number {
    return [...this.streams].filter(({ isSuspended }) => !isSuspended).length;
  }

  get suspended(): number {
    return this.streams.size - this.running;
  }

  add(stream: BatchedStream): void {
    this.streams.add(stream);
    this.schedule();
  }

  remove(stream: BatchedStream): void {
    this.streams.delete(stream);
  }

  clear(): void {
    this.streams.clear();
  }

  private schedule(): void {
    if (this.timer !== undefined || this.streams.size === 0) return;
    const { tokenMs, tokenMsPerRunning } = this.timings;
    const stepMs = tokenMs + tokenMsPerRunning * Math.max(0, this.running - 1);
    this.timer = setTimeout(() => this.step(), stepMs);
  }

  private step(): void {
    this.timer = undefined;
    const now = performance.now();
    [...this.streams].forEach((stream) => {
      if (stream.isSuspended || now < stream.firstTokenAt) return;
      if (!stream.step()) this.streams.delete(stream);
    });
    this.schedule();
  }
}
