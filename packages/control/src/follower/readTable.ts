/** Reads the configuration from the table. */
import type { Table } from '@jacinthlug/backing/Table';
import type { ReplicatedSuspectList } from '../suspects/createSuspectList.js';
import type { Clock } from '../time/Clock.js';
import { readHead, readVersion } from './configurationRows.js';
import { emptyConfiguration, type HeldConfiguration } from './createHeldConfiguration.js';

/** What a read needs. */
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
 * Reads the head row, and the version that it names when it is higher than the held one. The read
 * proves the time at which it was sent.
 *
 * @param read - what to read and where to keep it
 * @returns whether the table answered
 */
export const readTable = async (read: ReadTableDependencies): Promise<boolean> => {
  const sentAt = read.clock.now();
  const head = await readHead(read.table);
  if (head.isErr()) return false;
  read.held.recordSeenVersion(head.value.version);
  read.suspects.merge(head.value.suspectsVersion, head.value.suspects);
  await adoptVersion(head.value.version, read);
  read.held.recordProof(head.value.version, sentAt);
  void read.suspects.flush();
  return true;
};
