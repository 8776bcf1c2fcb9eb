/** Operations on lists of suspects. */
import type { Suspect } from '@jacinthlug/protocol/messages';

/** Maximum number of suspects in a list. */
export const MAX_SUSPECTS = 100;

/** Time for which a suspect is kept after its last crash. Unit: ms. */
export const SUSPECT_RETENTION_MS = 3_600_000;

const compareByExpiry = (left: Suspect, right: Suspect): number => right.expiresAt - left.expiresAt;

/**
 * Drops expired suspects, and those that expire first beyond {@link MAX_SUSPECTS}.
 *
 * @param suspects - records
 * @param now - wall-clock time. Unit: ms since 1970
 * @returns the remaining records, those that expire last first
 */
export const trimSuspects = (suspects: readonly Suspect[], now: number): Suspect[] =>
  suspects
    .filter(({ expiresAt }) => expiresAt > now)
    .sort(compareByExpiry)
    .slice(0, MAX_SUSPECTS);

/**
 * Merges two lists. The higher count of a request wins, so that merging a list again changes nothing.
 *
 * @param left - records
 * @param right - records
 * @returns one record for each request
 */
export const mergeSuspects = (left: readonly Suspect[], right: readonly Suspect[]): Suspect[] => {
  const merged = new Map(left.map((suspect) => [suspect.fingerprint, suspect]));
  right.forEach((suspect) => {
    const known = merged.get(suspect.fingerprint) ?? suspect;
    merged.set(suspect.fingerprint, {
      fingerprint: suspect.fingerprint,
      crashes: Math.max(known.crashes, suspect.crashes),
      expiresAt: Math.max(known.expiresAt, suspect.expiresAt),
    });
  });
  return [...merged.values()];
};

/**
 * Increments the crash count of each request.
 *
 * @param suspects - records
 * @param fingerprints - fingerprints of the requests that were running
 * @param now - wall-clock time of the crash. Unit: ms since 1970
 * @returns the new list
 */
export const recordCrash = (
  suspects: readonly Suspect[],
  fingerprints: readonly string[],
  now: number,
): Suspect[] => {
  const known = new Map(
    trimSuspects(suspects, now).map((suspect) => [suspect.fingerprint, suspect]),
  );
  new Set(fingerprints).forEach((fingerprint) => {
    const crashes = (known.get(fingerprint)?.crashes ?? 0) + 1;
    known.set(fingerprint, { fingerprint, crashes, expiresAt: now + SUSPECT_RETENTION_MS });
  });
  return trimSuspects([...known.values()], now);
};
