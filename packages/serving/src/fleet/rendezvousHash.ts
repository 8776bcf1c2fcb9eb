/** Spreads work over hosts that know the same names, without asking each other (rendezvous hashing). */

// Hashes are made of bit operations.
/* eslint-disable no-bitwise */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** 32-bit FNV-1a. Placement is asked for by the thousand a second, which rules a cryptographic hash out. */
const hashText = (text: string): number => {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
};

/** Final mix of MurmurHash3: names that differ in their last digit get weights that have nothing in common. */
const mixBits = (hash: number): number => {
  let mixed = hash;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
};

const hashCache = new Map<string, number>();

/** Names kept with their hashes; all are dropped when there are more. */
const MAX_CACHED_HASHES = 10_000;

const getHash = (text: string): number => {
  const known = hashCache.get(text);
  if (known !== undefined) return known;
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
 * Tells the position of a name in the order of a key. A name that comes or goes moves no other past one.
 *
 * @param key - what is placed
 * @param name - the name
 * @param names - all names
 * @returns number of names before it
 */
export const getRank = (key: string, name: string, names: readonly string[]): number => {
  const hash = mixBits(getHash(key));
  return names.reduce(
    (rank, other) => (other !== name && precedes(hash, other, name) ? rank + 1 : rank),
    0,
  );
};

/**
 * Tells whether a name is the first one in the order of a key.
 *
 * @param key - what is placed
 * @param name - the name
 * @param names - all names
 * @returns whether no other name comes before it
 */
export const ranksFirst = (key: string, name: string, names: readonly string[]): boolean => {
  const hash = mixBits(getHash(key));
  return names.every((other) => other === name || !precedes(hash, other, name));
};
