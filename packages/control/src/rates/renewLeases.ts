/** Renews all home leases that a process holds by one transaction. */
import { randomUUID } from 'node:crypto';
import type { Table } from '@jacinthlug/backing/Table';
import type { Clock } from '../time/Clock.js';
import type { LeaseRenewal } from './createHomeLease.js';

/** What the renewal needs. */
export interface RenewLeasesDependencies {
  readonly table: Table;
  readonly clock: Clock;
}

/**
 * Renews leases together.
 *
 * One call costs the processor about as much as the renewal of one lease did, and a process of a small
 * fleet holds many leases. A lease that another process has taken fails the transaction; it is left
 * out and the rest is sent again.
 *
 * @param parts - table and time
 * @param renewals - renewals of the leases that are held
 * @returns when each renewal has its outcome
 */
export const renewLeases = async (
  { table, clock }: RenewLeasesDependencies,
  renewals: readonly LeaseRenewal[],
): Promise<void> => {
  let rest = renewals;
  while (rest.length > 0) {
    const sentAt = clock.now();
    const outcome = await table.transact(
      rest.map(({ write }) => write),
      randomUUID(),
    );
    const failed = outcome.isErr() && outcome.error.kind === 'conflict' ? outcome.error.failed : [];
    const lost = rest.filter((_, index) => failed.includes(index));
    lost.forEach((renewal) => renewal.applyOutcome('lost', sentAt));
    if (lost.length === 0) {
      const result = outcome.isOk() ? 'renewed' : 'unsettled';
      rest.forEach((renewal) => renewal.applyOutcome(result, sentAt));
      return;
    }
    rest = rest.filter((renewal) => !lost.includes(renewal));
  }
};
