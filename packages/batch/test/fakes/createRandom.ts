/** Reproducible random numbers. */

/**
 * Creates a linear congruential generator with the constants of Numerical Recipes.
 *
 * @param seed - initial state
 * @returns function that returns random numbers in [0, 1)
 */
export const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1664525 + 1013904223) % 2 ** 32;
    return state / 2 ** 32;
  };
};
