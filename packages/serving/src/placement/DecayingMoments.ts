/** Mean and variation of observations that lose half of their weight in each half-life. */

/** Moments of the observations. */
export interface Moments {
  /** Sum of the weights of the observations; 1 for a new one. */
  readonly weight: number;
  readonly mean: number;
  /** Sum of the squared deviations from the mean, weighted. */
  readonly squares: number;
}

export class DecayingMoments {
  private weight = 0;

  private mean = 0;

  private squares = 0;

  private decayedAt = 0;

  constructor(
    /** Unit: ms. */
    private readonly halfLifeMs: number,
  ) {}

  /**
   * Adds an observation.
   *
   * @param value - the observed value
   * @param now - monotonic time. Unit: ms
   */
  add(value: number, now: number): void {
    this.decay(now);
    this.weight += 1;
    const deviation = value - this.mean;
    this.mean += deviation / this.weight;
    this.squares += deviation * (value - this.mean);
  }

  /**
   * Returns the moments.
   *
   * @param now - monotonic time. Unit: ms
   * @returns the moments
   */
  get(now: number): Moments {
    this.decay(now);
    return { weight: this.weight, mean: this.mean, squares: this.squares };
  }

  private decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / this.halfLifeMs);
    this.weight *= factor;
    this.squares *= factor;
    this.decayedAt = Math.max(now, this.decayedAt);
  }
}
