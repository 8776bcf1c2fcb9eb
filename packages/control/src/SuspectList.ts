/** Requests that were running when a target crashed, fleet-wide. */
import type { CrashReport, Suspect } from '@jacinthlug/protocol/messages';

/** Requests that were running when a target crashed. */
export interface SuspectList {
  /**
   * Finds the record of a request.
   *
   * @param fingerprint - hash of account, path and body
   * @returns the record, unless absent or expired
   */
  find(fingerprint: string): Suspect | undefined;

  /**
   * Records a crash: raises the count of each request, spreads the list to peers and writes it to the table.
   *
   * @param report - requests that were running
   * @returns when the record is known here and the write was tried
   */
  add(report: CrashReport): Promise<void>;
}
