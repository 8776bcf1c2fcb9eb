/** Measures how a cost of a control mechanism grows with size. */
import { fitLine, type Line, type Point } from './fitLine.js';

/** Measured points of an experiment and the line through them. */
export interface Measurement {
  readonly name: string;
  /** What the size counts, such as `members`. */
  readonly size: string;
  /** Unit of the values, such as `KiB of heap`. */
  readonly unit: string;
  readonly points: readonly Point[];
  readonly line: Line;
}

/** A cost that is measured at several sizes. */
export interface Experiment {
  readonly name: string;
  readonly size: string;
  readonly unit: string;
  readonly sizes: readonly number[];
  /**
   * Measures the cost at one size.
   *
   * @param size - one of `sizes`
   * @returns the cost, in the unit of the experiment
   */
  measure(size: number): Promise<number>;
}

const REPEATS = 3;

const computeMedian = (values: readonly number[]): number =>
  [...values].sort((left, right) => left - right)[Math.floor(values.length / 2)] ?? 0;

/**
 * Runs an experiment at each of its sizes. Each point is the median of three runs.
 *
 * @param experiment - experiment to run
 * @returns the points and the line fitted to them
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
