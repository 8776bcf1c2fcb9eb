/** Reads the configuration from the table. */
import type { Table } from '@jacinthlug/backing/Table';
import type { ReplicatedSuspectList } from '../suspects/createSuspectList.js';
import type { Clock } from '../time/Clock.js';
import { readHead, readVersion } from './configurationRows.js';
import { emptyConfiguration, type HeldConfiguration } from './createHeldConfiguration.js';

/** Dependencies of {@link readTable}. */
export interface ReadTableDependencies {
  readonly table: Table;
  readonly held: HeldConfiguration;
  readonly suspects: ReplicatedSuspectList;
  readonly clock: Clock;
}

const adoptVersion = async (
  version: number,
  { table, held }: ReadTableDependencies,
): Promise<void> => {
  if (version === 0) {
    if (!held.resolved()) held.adopt(emptyConfiguration);
    return;
  }
  if (version <= held.version()) return;
  const read = await readVersion(table, version);
  if (read.isOk() && read.value) held.adopt(read.value);
};

/**
 * Reads the head row, and the version in force when it is higher than the held one. A successful read
 * proves that the version was current at the time at which the read was sent.
 *
 * @param dependencies - table, and where to store the result
 * @returns whether the table responded
 */
export const readTable = async (dependencies: ReadTableDependencies): Promise<boolean> => {
  const sentAt = dependencies.clock.now();
  const head = await readHead(dependencies.table);
  if (head.isErr()) return false;
  dependencies.held.recordSeenVersion(head.value.version);
  dependencies.suspects.merge(head.value.suspectsVersion, head.value.suspects);
  await adoptVersion(head.value.version, dependencies);
  dependencies.held.recordProof(head.value.version, sentAt);
  void dependencies.suspects.flush();
  return true;
};
