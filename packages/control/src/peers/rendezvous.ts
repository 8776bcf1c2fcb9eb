/** Rendezvous hashing (highest random weight; Thaler and Ravishankar, 1998). */
import { createHash } from 'node:crypto';

const computeWeight = (key: string, name: string): string =>
  createHash('sha256').update(`${key}\0${name}`).digest('hex');

/**
 * Orders names by their weight for a key. All processes that know the same names agree on the order, and
 * adding or removing a name doesn't change the order of the others.
 *
 * @param key - key to place
 * @param names - candidates
 * @returns the names, best candidate first
 */
export const rendezvousOrder = (key: string, names: readonly string[]): string[] =>
  names
    .map((name) => ({ name, weight: computeWeight(key, name) }))
    .sort((left, right) => (left.weight < right.weight ? 1 : -1))
    .map(({ name }) => name);
