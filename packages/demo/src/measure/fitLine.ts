/** Least-squares fit of a line to measured points. */

/** A measured value at a size. */
export interface Point {
  readonly size: number;
  readonly value: number;
}

/** A fitted line with the residuals of its points. */
export interface Line {
  readonly intercept: number;
  readonly slope: number;
  /** Largest residual of a point, as a fraction of the largest absolute value. */
  readonly spread: number;
}

/**
 * Fits a line by least squares.
 *
 * @param points - at least three points with different sizes
 * @returns the line, in the units of the points
 */
export const fitLine = (points: readonly Point[]): Line => {
  const mean = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
  const meanSize = mean(points.map(({ size }) => size));
  const meanValue = mean(points.map(({ value }) => value));
  const covariance = mean(points.map(({ size, value }) => (size - meanSize) * (value - meanValue)));
  const variance = mean(points.map(({ size }) => (size - meanSize) ** 2));
  const slope = covariance / variance;
  const intercept = meanValue - slope * meanSize;
  const residuals = points.map(({ size, value }) => Math.abs(value - (intercept + slope * size)));
  const largestValue = Math.max(...points.map(({ value }) => Math.abs(value)));
  return {
    intercept,
    slope,
    spread: largestValue === 0 ? 0 : Math.max(...residuals) / largestValue,
  };
};
