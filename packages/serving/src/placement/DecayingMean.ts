/** A weighted mean whose observations lose half of their weight in each half-life. */

export class DecayingMean {
  private sum = 0;

  private weight = 0;

  private decayedAt = 0;

  constructor(
    /** Unit: ms. */
    private readonly halfLifeMs: number,
  ) {}

  /**
   * Adds an observation.
   *
   * @param value - the observed value
   * @param weight - its weight
   * @param now - monotonic time. Unit: ms
   */
  add(value: number, weight: number, now: number): void {
    this.decay(now);
    this.sum += value * weight;
    this.weight += weight;
  }

  /**
   * Returns the mean, which returns to a prior value as the observations decay.
   *
   * @param prior - value without observations
   * @param priorWeight - weight of the prior value
   * @param now - monotonic time. Unit: ms
   * @returns the mean of observations and prior value
   */
  get(prior: number, priorWeight: number, now: number): number {
    this.decay(now);
    return (this.sum + prior * priorWeight) / (this.weight + priorWeight);
  }

  /**
   * Returns the mean of the observations alone.
   *
   * @param now - monotonic time. Unit: ms
   * @returns the mean; undefined without observations
   */
  getObserved(now: number): number | undefined {
    this.decay(now);
    return this.weight > 0 ? this.sum / this.weight : undefined;
  }

  private decay(now: number): void {
    const factor = 0.5 ** (Math.max(0, now - this.decayedAt) / this.halfLifeMs);
    this.sum *= factor;
    this.weight *= factor;
    this.decayedAt = Math.max(now, this.decayedAt);
  }
}
