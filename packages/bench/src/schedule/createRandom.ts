/** Seeded random numbers; each name has a sequence of its own. */
import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { TokenCountRange } from '../experiment/experiment.js';

/** A sequence of random numbers. */
export interface RandomSequence {
  /** Next number, from 0 up to but not including 1. */
  next(): number;
  /**
   * Draws the gap to the next event of a Poisson process.
   *
   * @param rate - events/s
   * @returns gap. Unit: ms
   */
  gapMs(rate: number): number;
  /**
   * Draws a whole number.
   *
   * @param range - smallest and largest
   */
  integerWithin(range: TokenCountRange): number;
}

const MS_PER_SECOND = 1000;

/**
 * Opens a sequence. Sequences of other names do not change it, so that a variant which changes
 * one account leaves the requests of the others as they are.
 *
 * @param seed - seed of the experiment
 * @param name - name of the sequence
 * @returns the sequence
 */
export const createRandom = (seed: number, name: string): RandomSequence => {
  const digest = createHash('sha256').update(`${seed}\0${name}`).digest();
  const generator = xoroshiro128plus(digest.readInt32LE(0));
  const next = () => uniformFloat64(generator);
  return {
    next,
    gapMs: (rate) => (-Math.log(1 - next()) / rate) * MS_PER_SECOND,
    integerWithin: ({ min, max }) => min + Math.floor(next() * (max - min + 1)),
  };
};
