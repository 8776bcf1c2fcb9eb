/** Writes to the table whose outcome is settled by token, then by read-back. */
import { randomUUID } from 'node:crypto';
import type { Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';

/** A write that is settled. */
export interface ReadBackTransaction {
  readonly writes: readonly Write[];
  /** Names the transaction; a repeat must use the same. A fresh one when absent. */
  readonly token?: string;
  /** Monotonic time after which it gives up. Unit: ms. */
  readonly deadline: number;
  /**
   * Reads whether the writes took effect; asked after a conflict too, since the write itself can be
   * what made a late repeat fail.
   */
  readonly readBack: () => Promise<boolean>;
}

/**
 * Writes all or nothing and settles a lost answer.
 *
 * @param table - the table
 * @param write - what to write and how to find out whether it took effect
 * @returns nothing once it took effect, or why it did not; `unknown` when that could not be told
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
