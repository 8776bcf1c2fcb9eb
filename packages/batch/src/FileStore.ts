/** Store of the files uploaded by callers. */
import { createHash, randomUUID } from 'node:crypto';
import type { Readable } from 'node:stream';
import { setImmediate as yieldToEventLoop } from 'node:timers/promises';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import type { Table } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';
import {
  fromObjectFailure,
  fromTableFailure,
  type ReadFailure,
  type WriteFailure,
} from './BatchFailure.js';
import type { Clock } from './Clock.js';
import { ACCOUNT_FILE_PREFIX, accountFileKey, accountPartition, fileKey } from './rows/rowKeys.js';
import { accountFileRow, fileRow, parseRow, type FileRecord } from './rows/rows.js';
import { transactWithReadBack } from './transactWithReadBack.js';

/** Maximum number of files in a listing; the newest are returned. */
export const MAX_LISTED_FILES = 1000;

/** A file to store. */
export interface Upload {
  readonly account: string;
  readonly purpose: string;
  readonly filename: string;
  readonly content: Uint8Array;
}

/** Store of the files uploaded by callers. */
export interface FileStore {
  /**
   * Stores a file.
   *
   * @param upload - content and its owner
   * @param deadline - monotonic time at which the call times out. Unit: ms
   * @returns the record once it is durable
   */
  add(upload: Upload, deadline: number): Promise<Result<FileRecord, WriteFailure>>;

  /**
   * Reads the record of a file.
   *
   * @param account - client account of the caller
   * @param id - file id
   * @returns the record; `not-found` when another account owns it
   */
  get(account: string, id: string): Promise<Result<FileRecord, ReadFailure>>;

  /**
   * Lists the newest files of an account, newest first, up to {@link MAX_LISTED_FILES}.
   *
   * @param account - client account
   * @returns the records
   */
  list(account: string): Promise<Result<FileRecord[], ReadFailure>>;

  /**
   * Opens the content of a file.
   *
   * @param file - the record
   * @returns the stream; it emits an error if the transfer ends early
   */
  open(file: FileRecord): Promise<Result<Readable, ReadFailure>>;

  /**
   * Deletes the record of a file. The content is kept, since running jobs may still read it.
   *
   * @param file - the record
   * @param deadline - monotonic time at which the call times out. Unit: ms
   */
  remove(file: FileRecord, deadline: number): Promise<Result<void, WriteFailure>>;
}

/** Dependencies of {@link FileStore}. */
export interface FileStoreDependencies {
  readonly table: Table;
  readonly objects: ObjectStore;
  readonly clock: Clock;
}

/** Bytes hashed before yielding to the event loop, so that other requests are not delayed. */
const HASHED_BYTES_PER_YIELD = 1_048_576;

const hashContent = async (content: Uint8Array): Promise<string> => {
  const hash = createHash('sha256');
  for (let offset = 0; offset < content.byteLength; offset += HASHED_BYTES_PER_YIELD) {
    hash.update(content.subarray(offset, offset + HASHED_BYTES_PER_YIELD));
    await yieldToEventLoop();
  }
  return hash.digest('hex');
};

/**
 * Opens the store of files.
 *
 * @param dependencies - table, object store and clock
 * @returns the store
 */
export const openFileStore = ({ table, objects, clock }: FileStoreDependencies): FileStore => {
  const readRecord = async (id: string): Promise<Result<FileRecord, ReadFailure>> => {
    const found = await table.get(fileKey(id));
    if (found.isErr()) return err(fromTableFailure(found.error));
    if (found.value === undefined) return err({ kind: 'not-found' });
    return parseRow(fileRow, found.value).map((row) => ({ ...row, id }));
  };

  return {
    async add({ account, purpose, filename, content }, deadline) {
      const id = `file-${randomUUID().replaceAll('-', '')}`;
      const createdAt = clock.wall();
      const row = {
        account,
        purpose,
        filename,
        bytes: content.byteLength,
        createdAt,
        object: `files/${id}`,
        sha256: await hashContent(content),
      };
      const stored = await objects.put(row.object, content);
      if (stored.isErr()) return err(fromObjectFailure(stored.error));
      const written = await transactWithReadBack(table, {
        writes: [
          { kind: 'put', key: fileKey(id), attributes: row, conditions: [{ kind: 'absent' }] },
          {
            kind: 'put',
            key: accountFileKey(account, createdAt, id),
            attributes: { ...row, file: id },
          },
        ],
        deadline,
        readBack: async () => (await readRecord(id)).isOk(),
      });
      if (written.isOk()) return ok({ ...row, id });
      const { error } = written;
      return err(error.kind === 'conflict' ? fromTableFailure(error) : error);
    },

    async get(account, id) {
      const found = await readRecord(id);
      if (found.isErr()) return found;
      return found.value.account === account ? found : err({ kind: 'not-found' });
    },

    async list(account) {
      const found = await table.query({
        pk: accountPartition(account),
        prefix: ACCOUNT_FILE_PREFIX,
        descending: true,
        limit: MAX_LISTED_FILES,
      });
      if (found.isErr()) return err(fromTableFailure(found.error));
      const files: FileRecord[] = [];
      for (const row of found.value) {
        const parsed = parseRow(accountFileRow, row);
        if (parsed.isErr()) return err(parsed.error);
        const { file: id, ...record } = parsed.value;
        files.push({ ...record, id });
      }
      return ok(files);
    },

    async open(file) {
      const opened = await objects.open(file.object);
      return opened.mapErr(fromObjectFailure);
    },

    async remove(file, deadline) {
      const written = await transactWithReadBack(table, {
        writes: [
          { kind: 'delete', key: fileKey(file.id) },
          { kind: 'delete', key: accountFileKey(file.account, file.createdAt, file.id) },
        ],
        deadline,
        readBack: async () => {
          const now = await readRecord(file.id);
          return now.isErr() && now.error.kind === 'not-found';
        },
      });
      if (written.isOk()) return ok(undefined);
      const { error } = written;
      return err(error.kind === 'conflict' ? fromTableFailure(error) : error);
    },
  };
};
