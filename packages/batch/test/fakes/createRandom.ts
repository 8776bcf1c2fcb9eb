/** Random numbers that a seed repeats. */

/**
 * Creates a linear congruential generator with the constants of Numerical Recipes.
 *
 * @param seed - first state
 * @returns gives numbers of at least 0 and below 1
 */
export const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1664525 + 1013904223) % 2 ** 32;
    return state / 2 ** 32;
  };
};
