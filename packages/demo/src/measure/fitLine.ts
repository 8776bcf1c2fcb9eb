/** Least-squares line through measured points. */

/** A measured value at a size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A line with the spread of the points about it. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Largest distance of a point from the line, relative to the largest value. */
  readonly spread: number;
}

/**
 * Fits a line.
 *
 * @param points - at least three points of different sizes
 * @returns the line, in the units of the points
 */
export const fitLine = (points: readonly Point[]): Line => {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const covariance = mean(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const variance = mean(points.map(({ size }) => (size - meanSize) ** 2));
  const slope = covariance / variance;
  const base = meanValue - slope * meanSize;
  const distances = points.map(({ size, value }) => Math.abs(value - (base + slope * size)));
  const largest = Math.max(...points.map(({ value }) => Math.abs(value)));
  return { intercept: base, slope, spread: largest === 0 ? 0 : Math.max(...distances) / largest };
};
