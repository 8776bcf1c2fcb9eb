/** Seeded random numbers with an independent sequence for each name. */
import { createHash } from 'node:crypto';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { TokenCountRange } from '../experiment/experiment.js';

/** A sequence of random numbers. */
export interface RandomSequence {
  /** Returns the next number, at least 0 and less than 1. */
  next(): number;
  /**
   * Draws the time to the next event of a Poisson process.
   *
   * @param rate - mean rate. Unit: events/s
   * @returns time to the next event. Unit: ms
   */
  gapMs(rate: number): number;
  /**
   * Draws an integer.
   *
   * @param range - smallest and largest value
   */
  integerWithin(range: TokenCountRange): number;
}

const MS_PER_SECOND = 1000;

/**
 * Creates a sequence. It does not depend on other sequences, so that a variant that changes one
 * account does not change the requests of the others.
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
