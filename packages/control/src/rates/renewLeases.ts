/** Renews all home leases of a process in one transaction. */
import { randomUUID } from 'node:crypto';
import type { Table } from '@jacinthlug/backing/Table';
import type { Clock } from '../time/Clock.js';
import type { LeaseRenewal } from './createHomeLease.js';

/** Dependencies of {@link renewLeases}. */
export interface RenewLeasesDependencies {
  readonly table: Table;
  readonly clock: Clock;
}

/**
 * Renews leases in one transaction.
 *
 * A transaction with all leases takes about as much processor time as one with a single lease, and a
 * process in a small fleet holds many leases. A lease that another process has taken over fails the
 * transaction; it is left out, and the transaction is sent again for the others.
 *
 * @param dependencies - table and clock
 * @param renewals - renewals of the held leases
 * @returns resolves when each renewal has its outcome
 */
export const renewLeases = async (
  { table, clock }: RenewLeasesDependencies,
  renewals: readonly LeaseRenewal[],
): Promise<void> => {
  let remaining = renewals;
  while (remaining.length > 0) {
    const sentAt = clock.now();
    const outcome = await table.transact(
      remaining.map(({ write }) => write),
      randomUUID(),
    );
    const failed = outcome.isErr() && outcome.error.kind === 'conflict' ? outcome.error.failed : [];
    const lost = remaining.filter((_, index) => failed.includes(index));
    lost.forEach((renewal) => renewal.applyOutcome('lost', sentAt));
    if (lost.length === 0) {
      const result = outcome.isOk() ? 'renewed' : 'unsettled';
      remaining.forEach((renewal) => renewal.applyOutcome(result, sentAt));
      return;
    }
    remaining = remaining.filter((renewal) => !lost.includes(renewal));
  }
};
