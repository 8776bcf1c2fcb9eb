/** Finds granted keys in texts. */
import type { ResolvedConfiguration } from '@jacinthlug/settings/tree/ResolvedConfiguration';

const keyPattern = /jl_[A-Za-z0-9_-]+/g;

/**
 * Checks whether a text contains a granted key of any account.
 *
 * @param configuration - configuration in force
 * @param text - text that would be sent to a target
 * @returns whether the text contains a granted key
 */
export const containsGrantedKey = (configuration: ResolvedConfiguration, text: string): boolean =>
  [...text.matchAll(keyPattern)].some(([token]) => configuration.findKey(token) !== undefined);
