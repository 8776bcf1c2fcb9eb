/** Deterministic content of responses: the same prompt and seed always give the same tokens. */
import { createHash } from 'node:crypto';

const VOCABULARY = [
  'alder basin cable delta ember fjord gravel harbor inlet juniper kelp lantern meadow north',
  'orchard pier quarry ridge slate timber upland valley willow yarrow zinc amber birch cedar',
]
  .join(' ')
  .split(' ');

/** Returns the token at an index of a response: a word with a trailing space. */
export type TokenSource = (index: number) => string;

/**
 * Creates the source of the tokens of a response.
 *
 * @param prompt - complete prompt
 * @param seed - seed of the engine
 * @returns the token source
 */
export const createTokenSource = (prompt: string, seed: number): TokenSource => {
  const digest = createHash('sha256').update(`${seed}\0${prompt}`).digest();
  return (index) => {
    const byte = digest[index % digest.length] ?? 0;
    return `${VOCABULARY[(byte + index * 7) % VOCABULARY.length]} `;
  };
};
