/** Tells differences between groups of observations from noise, by an analysis of variance. */
import type { Moments } from './DecayingMoments.js';

/** Minimum number of observations beyond one of each group, from which the noise within the groups is known. */
const MIN_SPARE_OBSERVATIONS = 10;

/** Number of standard errors by which the variance between groups has to exceed that of noise. */
const MARGIN = 3;

/**
 * Estimates the standard deviation of the means of groups, without what observations of one group differ by chance.
 *
 * @param groups - moments of the observations of each group
 * @returns a cautious estimate, which is 0 for noise; undefined if there are too few observations
 * @see https://en.wikipedia.org/wiki/One-way_analysis_of_variance
 */
export const estimateDeviation = (groups: readonly Moments[]): number | undefined => {
  const count = groups.reduce((sum, { weight }) => sum + weight, 0);
  const spare = count - groups.length;
  if (groups.length < 2 || spare < MIN_SPARE_OBSERVATIONS) return undefined;
  const mean = groups.reduce((sum, group) => sum + group.weight * group.mean, 0) / count;
  const between =
    groups.reduce((sum, group) => sum + group.weight * (group.mean - mean) ** 2, 0) /
    (groups.length - 1);
  const within = groups.reduce((sum, { squares }) => sum + squares, 0) / spare;
  const sizeOfGroup =
    (count - groups.reduce((sum, { weight }) => sum + weight ** 2, 0) / count) /
    (groups.length - 1);
  const noise = within * (1 + MARGIN * Math.sqrt(2 / (groups.length - 1)));
  return Math.sqrt(Math.max(0, between - noise) / sizeOfGroup);
};
