/** Computes the median and range over the rounds. */

/** Median and range. */
export interface Spread {
  readonly median: number;
  readonly min: number;
  readonly max: number;
}

/**
 * Computes median and range.
 *
 * @param values - one value per round
 * @returns median and range; undefined without values
 */
export const computeSpread = (values: readonly number[]): Spread | undefined => {
  if (values.length === 0) return undefined;
  const sorted = [...values].sort((left, right) => left - right);
  const middle = Math.floor(sorted.length / 2);
  const upper = sorted[middle] ?? 0;
  const lower = sorted.length % 2 === 0 ? (sorted[middle - 1] ?? 0) : upper;
  return { median: (lower + upper) / 2, min: sorted[0] ?? 0, max: sorted.at(-1) ?? 0 };
};

/**
 * Computes the ratios of two variants round by round, so that noise within a round affects both.
 *
 * @param values - values by round; undefined where a run had no sample
 * @param base - values of the base variant by round
 * @returns median and range of the ratios; undefined when no round has a ratio
 */
export const computeRatioSpread = (
  values: readonly (number | undefined)[],
  base: readonly (number | undefined)[],
): Spread | undefined =>
  computeSpread(
    values.flatMap((value, round) => {
      const divisor = base[round];
      return value === undefined || divisor === undefined || divisor === 0 ? [] : value / divisor;
    }),
  );
