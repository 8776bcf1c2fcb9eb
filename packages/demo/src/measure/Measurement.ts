/** A measured slope of a control mechanism. */
import { fitLine, type Line, type Point } from './fitLine.js';

/** A measured slope. */
export interface Measurement {
  readonly name: string;
  /** What the size counts, such as `accounts`. */
  readonly size: string;
  /** Unit of the value, such as `KiB of heap`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** How to measure one mechanism. */
export interface Experiment {
  readonly name: string;
  readonly size: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  /**
   * Measures the value at a size.
   *
   * @param size - one of `sizes`
   * @returns the value, in the unit of the experiment
   */
  measure(size: number): Promise<number>;
}

const REPEATS = 3;

const computeMedian = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/**
 * Measures an experiment at each of its sizes; each point is the median of three runs.
 *
 * @param experiment - what to measure
 * @returns the points and the line through them
 */
export const runExperiment = async (experiment: Experiment): Promise<Measurement> => {
  const points: Point[] = [];
  for (const size of experiment.sizes) {
    const values: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat += 1) {
      values.push(await experiment.measure(size));
    }
    points.push({ size, value: computeMedian(values) });
  }
  const { name, unit } = experiment;
  return { name, size: experiment.size, unit, points, line: fitLine(points) };
};
