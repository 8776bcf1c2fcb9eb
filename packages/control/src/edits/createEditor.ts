/** Commits edits of the configuration (design 5.1, 5.10). */
import { randomUUID } from 'node:crypto';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Table, Write } from '@jacinthlug/backing/Table';
import type { Configuration, ConfigurationContent } from '@jacinthlug/settings/tree/configuration';
import { err, ok, type Result } from 'neverthrow';
import {
  encodeVersion,
  headKey,
  readHead,
  readVersion,
  readVersionRecord,
  versionKey,
} from '../follower/configurationRows.js';
import { emptyConfiguration } from '../follower/createHeldConfiguration.js';
import type { Follower } from '../follower/createFollower.js';
import type { Clock } from '../time/Clock.js';

/** An edit that replaces the whole content. */
export interface Edit {
  /** Version that the content is based on. */
  readonly baseVersion: number;
  readonly content: ConfigurationContent;
  readonly author: string;
  readonly note?: string;
  /** Idempotency token: an edit that is repeated with the same token takes effect once. */
  readonly token: string;
}

/** An edit that is computed from the version in force, and recomputed when that version changes. */
export interface Change {
  /**
   * Computes the new content.
   *
   * @param content - content in force
   * @returns the new content, `unchanged` when the change is in force already, or why it is refused
   */
  apply(content: ConfigurationContent): Result<ConfigurationContent | 'unchanged', Refusal>;
  readonly author: string;
  readonly note: string;
  readonly token: string;
}

/** Commits edits of the configuration. */
export interface Editor {
  /**
   * Returns a version, from memory when it is the held one.
   *
   * @param version - version number
   * @returns the version, or why it cannot be read
   */
  read(version: number): Promise<Result<Configuration, Refusal>>;

  /**
   * Commits an edit if its base version is in force.
   *
   * @param edit - the edit
   * @returns the number of the created version, or why there is none
   */
  commit(edit: Edit): Promise<Result<number, Refusal>>;

  /**
   * Commits a change of the version in force; retries when another edit is committed meanwhile.
   *
   * @param change - the change
   * @returns the number of the version that contains the change, or why there is none
   */
  change(change: Change): Promise<Result<number, Refusal>>;
}

/** Dependencies of {@link Editor}. */
export interface EditorDependencies {
  readonly table: Table;
  readonly follower: Follower;
  readonly clock: Clock;
  readonly journal: Journal;
  /** Returns the wall-clock time; `Date.now` by default. Unit: ms since 1970. */
  readonly wallNow?: () => number;
}

/** Timeout for a commit, including its retries. Unit: ms. */
const COMMIT_TIMEOUT_MS = 5000;

/** Maximum number of attempts to commit a change while other edits are committed. */
const MAX_CHANGE_ATTEMPTS = 8;

const createUnavailableRefusal = (message: string): Refusal =>
  refuse('platform-unavailable', { detail: message });

const createConflictRefusal = (version: number): Refusal =>
  refuse('configuration-conflict', {
    detail: `The version in force is ${version}.`,
    facts: { version },
  });

/**
 * Creates the editor of an entry host.
 *
 * @param dependencies - table, follower and clock
 * @returns the editor
 */
export const createEditor = ({
  table,
  follower,
  clock,
  journal,
  wallNow = Date.now,
}: EditorDependencies): Editor => {
  const checkMajority = async (): Promise<Result<void, Refusal>> => {
    await follower.queryDomains();
    if (follower.mayAcceptEdits()) return ok(undefined);
    const isConfirmed = follower.mode() === 'confirmed';
    return err(refuse(isConfirmed ? 'configuration-no-majority' : 'configuration-unconfirmed'));
  };
  const read = async (version: number): Promise<Result<Configuration, Refusal>> => {
    const latest = follower.latest();
    if (latest?.version === version) return ok(latest.configuration);
    if (version === 0) return ok(emptyConfiguration);
    const row = await readVersion(table, version);
    if (row.isErr()) return err(createUnavailableRefusal(row.error.message));
    return row.value ? ok(row.value) : err(refuse('not-found', { detail: `version ${version}` }));
  };
  const readCurrentVersion = async (): Promise<Result<number, Refusal>> => {
    const head = await readHead(table);
    return head.isErr()
      ? err(createUnavailableRefusal(head.error.message))
      : ok(head.value.version);
  };
  /** Determines from the version row whose edit followed the base version. */
  const findOutcome = async (edit: Edit): Promise<'ours' | 'other' | 'none' | 'unreadable'> => {
    const record = await readVersionRecord(table, edit.baseVersion + 1);
    if (record.isErr()) return 'unreadable';
    if (!record.value) return 'none';
    return record.value.token === edit.token ? 'ours' : 'other';
  };
  const completeEdit = ({ baseVersion, content }: Edit): Result<number, Refusal> => {
    const version = baseVersion + 1;
    follower.adopt({ version, content });
    journal.record('configuration-accepted', { version });
    return ok(version);
  };
  /** Completes a repeated edit: the content in force is that of the row, not that of the repeat. */
  const completeRepeatedEdit = async ({ baseVersion }: Edit): Promise<Result<number, Refusal>> => {
    const version = baseVersion + 1;
    const row = await readVersion(table, version);
    if (row.isOk() && row.value) follower.adopt(row.value);
    return ok(version);
  };
  const createWrites = (edit: Edit): Write[] => {
    const version = edit.baseVersion + 1;
    const record = { version, author: edit.author, acceptedAt: wallNow(), token: edit.token };
    const attributes = encodeVersion(
      edit.note === undefined ? record : { ...record, note: edit.note },
      edit.content,
    );
    const isBase =
      edit.baseVersion === 0
        ? ({ kind: 'missing', attribute: 'version' } as const)
        : ({ kind: 'equals', attribute: 'version', value: edit.baseVersion } as const);
    return [
      { kind: 'put', key: versionKey(version), attributes, conditions: [{ kind: 'absent' }] },
      { kind: 'update', key: headKey, set: { version }, conditions: [isBase] },
    ];
  };
  const createConflict = async (): Promise<Result<number, Refusal>> => {
    const current = await readCurrentVersion();
    return err(current.isErr() ? current.error : createConflictRefusal(current.value));
  };
  /** Determines the outcome of an edit whose transaction may have taken effect. */
  const resolveByRow = async (edit: Edit, isUnknown: boolean): Promise<Result<number, Refusal>> => {
    const outcome = await findOutcome(edit);
    if (outcome === 'ours') return completeRepeatedEdit(edit);
    if (outcome === 'other') return createConflict();
    // While the transaction may still take effect, an absent row doesn't determine the outcome.
    if (isUnknown || outcome === 'unreadable') return err(refuse('configuration-outcome-unknown'));
    return createConflict();
  };
  const commit = async (edit: Edit): Promise<Result<number, Refusal>> => {
    const majority = await checkMajority();
    if (majority.isErr()) return err(majority.error);
    // A repeat of an accepted edit, or an edit of an old version: the row of the next version shows which.
    if (edit.baseVersion < (follower.latest()?.version ?? 0)) return resolveByRow(edit, false);
    const writes = createWrites(edit);
    const deadline = clock.now() + COMMIT_TIMEOUT_MS;
    const outcome = await table.transactWithRetry(writes, randomUUID(), deadline);
    if (outcome.isOk()) return completeEdit(edit);
    if (outcome.error.kind === 'unavailable')
      return err(createUnavailableRefusal(outcome.error.message));
    return resolveByRow(edit, outcome.error.kind === 'unknown');
  };
  const readInForce = async (): Promise<Result<Configuration, Refusal>> => {
    const version = await readCurrentVersion();
    return version.isErr() ? err(version.error) : read(version.value);
  };
  const changeOnce = async (change: Change): Promise<Result<number, Refusal>> => {
    const base = await readInForce();
    if (base.isErr()) return err(base.error);
    const content = change.apply(base.value.content);
    if (content.isErr()) return err(content.error);
    if (content.value === 'unchanged') return ok(base.value.version);
    return commit({ ...change, baseVersion: base.value.version, content: content.value });
  };
  return {
    read,
    commit,
    async change(change) {
      let outcome = await changeOnce(change);
      for (let attempt = 1; attempt < MAX_CHANGE_ATTEMPTS; attempt += 1) {
        if (outcome.isOk() || outcome.error.code !== 'configuration-conflict') return outcome;
        outcome = await changeOnce(change);
      }
      return outcome;
    },
  };
};
