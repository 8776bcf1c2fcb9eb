/** A weighted moving average in which older values decay. */

/** Weight of the initial value: the events or tokens of about one item. */
const INITIAL_WEIGHT = 100;

/** Maximum total weight of earlier values: the events or tokens of about the ten newest items. */
const MAX_WEIGHT = 3000;

export class MovingAverage {
  private weight = INITIAL_WEIGHT;

  constructor(public value: number) {}

  /**
   * Adds a value.
   *
   * @param value - the value
   * @param weight - its weight
   */
  add(value: number, weight: number): void {
    this.value = (this.value * this.weight + value * weight) / (this.weight + weight);
    this.weight = Math.min(MAX_WEIGHT, this.weight + weight);
  }
}
