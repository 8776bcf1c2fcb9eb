/** The suspect list of a process: in the head row of the table and spread with the configuration. */
import { randomUUID } from 'node:crypto';
import type { Table } from '@jacinthlug/backing/Table';
import type { Suspect } from '@jacinthlug/protocol/messages';
import { headKey, readHead, type Head } from '../follower/configurationRows.js';
import type { SuspectList } from '../SuspectList.js';
import type { Clock } from '../time/Clock.js';
import { recordCrash, mergeSuspects, trimSuspects } from './mergeSuspects.js';

/** The suspect list with what its spread needs. */
export interface ReplicatedSuspectList extends SuspectList {
  /**
   * Numbers the list; it grows with each change.
   *
   * @returns the number; 0 for the empty list at the start
   */
  version(): number;

  /**
   * Gives all records.
   *
   * @returns the records that have not expired
   */
  all(): Suspect[];

  /**
   * Takes in a list from the table or a peer.
   *
   * @param version - its number
   * @param suspects - its records
   */
  merge(version: number, suspects: readonly Suspect[]): void;

  /**
   * Calls a listener after each change.
   *
   * @param listener - called without arguments
   */
  onChange(listener: () => void): void;

  /**
   * Writes crashes to the table that were recorded in memory only, as during an outage. Called
   * after each successful read of the table.
   */
  flush(): Promise<void>;
}

/** What the list needs. */
export interface SuspectListDependencies {
  readonly table: Table;
  readonly clock: Clock;
  /** Wall-clock time, `Date.now` unless replaced. Unit: ms since 1970. */
  readonly wallNow?: () => number;
}

/** Attempts to write while other hosts write the head row. */
const MAX_WRITE_ATTEMPTS = 5;

/** Time to settle one write. Unit: ms. */
const WRITE_TIMEOUT_MS = 3000;

/** A crash that the table does not hold yet. */
interface PendingCrash {
  readonly fingerprints: readonly string[];
  readonly at: number;
}

/** A transaction for the first pending crash. */
interface WriteAttempt {
  readonly head: Head;
  readonly token: string;
}

/**
 * Creates an empty list.
 *
 * @param parts - table and time
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
  // Kept while its outcome is unknown: it must be settled before the crash is counted again.
  let attempt: WriteAttempt | undefined;
  const listeners: (() => void)[] = [];
  const replace = (nextVersion: number, next: Suspect[]): void => {
    suspects = next;
    version = nextVersion;
    listeners.forEach((listener) => listener());
  };
  const merge = (otherVersion: number, others: readonly Suspect[]): void => {
    const merged = trimSuspects(mergeSuspects(suspects, others), wallNow());
    const grown = JSON.stringify(merged) !== JSON.stringify(trimSuspects(suspects, wallNow()));
    const foreign = new Set(others.map(({ fingerprint }) => fingerprint));
    // Both sides of a merge held records that the other lacks: the union needs a number of its own.
    const isUnion = grown && suspects.some(({ fingerprint }) => !foreign.has(fingerprint));
    const nextVersion = Math.max(otherVersion, version) + (isUnion ? 1 : 0);
    if (grown || nextVersion !== version) replace(nextVersion, merged);
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
    for (let tries = 0; tries < MAX_WRITE_ATTEMPTS; tries += 1) {
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
