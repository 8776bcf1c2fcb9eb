/** Finds callers' keys in texts. */
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';

const keyPattern = /jl_[A-Za-z0-9_-]+/g;

/**
 * Tells whether a text contains a granted key, of whichever account.
 *
 * @param catalogue - lookups on the configuration
 * @param text - text that a target would see
 * @returns whether a key was found
 */
export const containsGrantedKey = (catalogue: ResolvedConfiguration, text: string): boolean =>
  [...text.matchAll(keyPattern)].some(([token]) => catalogue.findKey(token) !== undefined);
