/** Fleet-wide list of the requests that were running when a target crashed. */
import type { CrashReport, Suspect } from '@jacinthlug/protocol/messages';

/** Fleet-wide list of the requests that were running when a target crashed. */
export interface SuspectList {
  /**
   * Finds the record of a request.
   *
   * @param fingerprint - hash of account, path and body
   * @returns the record; `undefined` when it is absent or expired
   */
  find(fingerprint: string): Suspect | undefined;

  /**
   * Records a crash: increments the count of each request, and spreads the list to peers and the table.
   *
   * @param report - requests that were running at the crash
   * @returns resolves when the crash is recorded in memory and the write to the table was attempted
   */
  add(report: CrashReport): Promise<void>;
}
