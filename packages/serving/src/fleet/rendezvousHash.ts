/** Rendezvous hashing: hosts that know the same names agree on the placement of work without communication. */

// The hash functions consist of bitwise operations.
/* eslint-disable no-bitwise */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a. A cryptographic hash is too slow for thousands of placements a second. */
const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
};

/** Finalizer of MurmurHash3: names that differ only in their last digit get unrelated weights. */
const mixBits = (hash: number): number => {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

const hashCache = new Map<string, number>();

/** Maximum number of cached hashes; the cache is cleared when it is full. */
const MAX_CACHED_HASHES = 10_000;

/** Maximum length of a text whose hash is cached, as callers choose the ids of jobs. */
const MAX_CACHED_LENGTH = 200;

const getHash = (text: string): number => {
  if (text.length > MAX_CACHED_LENGTH) return hashText(text);
  const cached = hashCache.get(text);
  if (cached !== undefined) return cached;
  if (hashCache.size >= MAX_CACHED_HASHES) hashCache.clear();
  const hash = hashText(text);
  hashCache.set(text, hash);
  return hash;
};

const precedes = (key: number, left: string, right: string): boolean => {
  const [leftWeight, rightWeight] = [mixBits(key ^ getHash(left)), mixBits(key ^ getHash(right))];
  return leftWeight === rightWeight ? left < right : leftWeight > rightWeight;
};

/**
 * Returns the rank of a name for a key. Adding or removing a name keeps the relative order of all others.
 *
 * @param key - key of the work to place
 * @param name - the name
 * @param names - all names
 * @returns number of names that rank before it
 */
export const getRank = (key: string, name: string, names: readonly string[]): number => {
  const hash = mixBits(getHash(key));
  return names.reduce(
    (rank, other) => (other !== name && precedes(hash, other, name) ? rank + 1 : rank),
    0,
  );
};

/**
 * Checks whether a name ranks first for a key.
 *
 * @param key - key of the work to place
 * @param name - the name
 * @param names - all names
 * @returns true if no other name ranks before it
 */
export const ranksFirst = (key: string, name: string, names: readonly string[]): boolean => {
  const hash = mixBits(getHash(key));
  return names.every((other) => other === name || !precedes(hash, other, name));
};
