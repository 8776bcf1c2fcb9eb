/** Content of answers: the same prompt and seed always give the same tokens. */
import { createHash } from 'node:crypto';

const VOCABULARY = [
  'alder basin cable delta ember fjord gravel harbor inlet juniper kelp lantern meadow north',
  'orchard pier quarry ridge slate timber upland valley willow yarrow zinc amber birch cedar',
]
  .join(' ')
  .split(' ');

/**
 * Generates the tokens of an answer.
 *
 * @param prompt - whole prompt
 * @param seed - seed of the engine
 * @param count - number of tokens
 * @returns words, each with a trailing space
 */
export const generateTokens = (prompt: string, seed: number, count: number): string[] => {
  const digest = createHash('sha256').update(`${seed}\0${prompt}`).digest();
  return Array.from({ length: count }, (_, index) => {
    const byte = digest[index % digest.length] ?? 0;
    return `${VOCABULARY[(byte + index * 7) % VOCABULARY.length]} `;
  });
};
