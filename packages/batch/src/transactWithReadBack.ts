/** Table transactions whose outcome is determined by retrying with a token, then by reading back. */
import { randomUUID } from 'node:crypto';
import type { Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';

/** A transaction with the means to determine its outcome. */
export interface ReadBackTransaction {
  readonly writes: readonly Write[];
  /** Idempotency token; a retry must use the same one. Generated when absent. */
  readonly token?: string;
  /** Monotonic time at which the call times out. Unit: ms. */
  readonly deadline: number;
  /**
   * Checks by reading whether the writes took effect. It is also called after a conflict, since the
   * conflict of a late retry can be caused by the first attempt of the same transaction.
   */
  readonly readBack: () => Promise<boolean>;
}

/**
 * Runs a transaction and determines its outcome if the response is lost.
 *
 * @param table - the table
 * @param transaction - writes, and how to check whether they took effect
 * @returns nothing if the transaction took effect, or the reason why it did not; `unknown` if the
 * outcome could not be determined
 */
export const transactWithReadBack = async (
  table: Table,
  { writes, token = randomUUID(), deadline, readBack }: ReadBackTransaction,
): Promise<Result<void, TableFailure>> => {
  const written = await table.transactWithRetry(writes, token, deadline);
  if (written.isOk()) return ok(undefined);
  const effective = await readBack();
  return effective ? ok(undefined) : err(written.error);
};
