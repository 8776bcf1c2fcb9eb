/** The suspect list of a process: stored in the head row of the table, and spread with the configuration. */
import { randomUUID } from 'node:crypto';
import type { Table } from '@jacinthlug/backing/Table';
import type { Suspect } from '@jacinthlug/protocol/messages';
import { headKey, readHead, type Head } from '../follower/configurationRows.js';
import type { SuspectList } from '../SuspectList.js';
import type { Clock } from '../time/Clock.js';
import { recordCrash, mergeSuspects, trimSuspects } from './mergeSuspects.js';

/** The suspect list, with the members that spread it to peers and the table. */
export interface ReplicatedSuspectList extends SuspectList {
  /**
   * Returns the version of the list, which increases with each change.
   *
   * @returns the version; 0 for the initial empty list
   */
  version(): number;

  /**
   * Returns all records.
   *
   * @returns the records that have not expired
   */
  all(): Suspect[];

  /**
   * Merges a list from the table or a peer into this list.
   *
   * @param version - version of the other list
   * @param suspects - records of the other list
   */
  merge(version: number, suspects: readonly Suspect[]): void;

  /**
   * Calls a listener after each change.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void;

  /**
   * Writes crashes to the table that were recorded only in memory, such as during an outage. Called
   * after each successful read of the table.
   */
  flush(): Promise<void>;
}

/** Dependencies of {@link ReplicatedSuspectList}. */
export interface SuspectListDependencies {
  readonly table: Table;
  readonly clock: Clock;
  /** Returns the wall-clock time; `Date.now` by default. Unit: ms since 1970. */
  readonly wallNow?: () => number;
}

/** Maximum number of attempts to write a crash while other hosts write the head row. */
const MAX_WRITE_ATTEMPTS = 5;

/** Timeout for one write, including its retries. Unit: ms. */
const WRITE_TIMEOUT_MS = 3000;

/** A crash that has not been written to the table yet. */
interface PendingCrash {
  readonly fingerprints: readonly string[];
  /** Wall-clock time of the crash. Unit: ms since 1970. */
  readonly at: number;
}

/** The transaction that writes the first pending crash. */
interface WriteAttempt {
  readonly head: Head;
  readonly token: string;
}

/**
 * Creates an empty list.
 *
 * @param dependencies - table and clock
 * @returns the list
 */
export const createSuspectList = ({
  table,
  clock,
  wallNow = Date.now,
}: SuspectListDependencies): ReplicatedSuspectList => {
  let suspects: Suspect[] = [];
  let version = 0;
  let pending: PendingCrash[] = [];
  let flushing: Promise<void> | undefined;
  // Kept while its outcome is unknown, so that its retries don't count the crash twice.
  let attempt: WriteAttempt | undefined;
  const listeners: (() => void)[] = [];
  const replace = (nextVersion: number, next: Suspect[]): void => {
    suspects = next;
    version = nextVersion;
    listeners.forEach((listener) => listener());
  };
  const merge = (otherVersion: number, others: readonly Suspect[]): void => {
    const merged = trimSuspects(mergeSuspects(suspects, others), wallNow());
    const hasChanged = JSON.stringify(merged) !== JSON.stringify(trimSuspects(suspects, wallNow()));
    const otherFingerprints = new Set(others.map(({ fingerprint }) => fingerprint));
    // Each list has records that the other lacks, so the union needs a version of its own.
    const isUnion =
      hasChanged && suspects.some(({ fingerprint }) => !otherFingerprints.has(fingerprint));
    const nextVersion = Math.max(otherVersion, version) + (isUnion ? 1 : 0);
    if (hasChanged || nextVersion !== version) replace(nextVersion, merged);
  };
  const tryWrite = async (crash: PendingCrash): Promise<'written' | 'conflict' | 'later'> => {
    if (!attempt) {
      const read = await readHead(table);
      if (read.isErr()) return 'later';
      attempt = { head: read.value, token: randomUUID() };
    }
    const { head, token } = attempt;
    const next = recordCrash(head.suspects, crash.fingerprints, crash.at);
    const nextVersion = Math.max(head.suspectsVersion, version) + 1;
    const unchanged =
      head.suspectsVersion === 0
        ? ({ kind: 'missing', attribute: 'suspectsVersion' } as const)
        : ({ kind: 'equals', attribute: 'suspectsVersion', value: head.suspectsVersion } as const);
    const outcome = await table.transactWithRetry(
      [
        {
          kind: 'update',
          key: headKey,
          set: { suspects: next, suspectsVersion: nextVersion },
          conditions: [unchanged],
        },
      ],
      token,
      clock.now() + WRITE_TIMEOUT_MS,
    );
    if (outcome.isErr() && outcome.error.kind === 'unknown') return 'later';
    attempt = undefined;
    if (outcome.isOk()) {
      merge(nextVersion, next);
      return 'written';
    }
    return outcome.error.kind === 'conflict' ? 'conflict' : 'later';
  };
  const write = async (crash: PendingCrash): Promise<boolean> => {
    for (let attempts = 0; attempts < MAX_WRITE_ATTEMPTS; attempts += 1) {
      const outcome = await tryWrite(crash);
      if (outcome !== 'conflict') return outcome === 'written';
    }
    return false;
  };
  const flushAll = async (): Promise<void> => {
    for (;;) {
      const [crash] = pending;
      if (!crash || !(await write(crash))) return;
      pending = pending.filter((other) => other !== crash);
    }
  };
  const flush = async (): Promise<void> => {
    if (pending.length === 0) return;
    flushing ??= flushAll().finally(() => {
      flushing = undefined;
    });
    await flushing;
  };
  return {
    version: () => version,
    all: () => trimSuspects(suspects, wallNow()),
    find: (fingerprint) =>
      suspects.find(
        (suspect) => suspect.fingerprint === fingerprint && suspect.expiresAt > wallNow(),
      ),
    merge,
    onChange(listener) {
      listeners.push(listener);
    },
    flush,
    async add({ fingerprints }) {
      const at = wallNow();
      replace(version + 1, recordCrash(suspects, fingerprints, at));
      pending.push({ fingerprints, at });
      await flush();
    },
  };
};
