/** A mean of weighted values in which older ones fade. */

/** What the first value counts as: events or tokens of about one item. */
const INITIAL_WEIGHT = 100;

/** What all earlier values count at most: events or tokens of the newest ten items or so. */
const MAX_WEIGHT = 3000;

/** The mean. */
export class MovingAverage {
  private weight = INITIAL_WEIGHT;

  constructor(public value: number) {}

  /**
   * Takes a value.
   *
   * @param value - the value
   * @param weight - what it counts as
   */
  add(value: number, weight: number): void {
    this.value = (this.value * this.weight + value * weight) / (this.weight + weight);
    this.weight = Math.min(MAX_WEIGHT, this.weight + weight);
  }
}
