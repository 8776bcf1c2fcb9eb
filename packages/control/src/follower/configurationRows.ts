/** Reads and encodes the rows of the configuration in the table. */
import { gunzipSync, gzipSync } from 'node:zlib';
import type { Attributes, Row, RowKey, Table } from '@jacinthlug/backing/Table';
import { suspect, type Suspect } from '@jacinthlug/protocol/messages';
import {
  configurationContent,
  type Configuration,
  type ConfigurationContent,
} from '@jacinthlug/settings/tree/configuration';
import { err, ok, type Result } from 'neverthrow';
import * as z from 'zod';

const PARTITION = 'configuration';
const VERSION_PREFIX = 'version#';
const VERSION_DIGITS = 12;

/** Key of the head row. */
export const headKey: RowKey = { pk: PARTITION, sk: 'head' };

/**
 * Returns the key of the row of a version.
 *
 * @param version - version number
 * @returns the key
 */
export const versionKey = (version: number): RowKey => ({
  pk: PARTITION,
  sk: `${VERSION_PREFIX}${String(version).padStart(VERSION_DIGITS, '0')}`,
});

const headAttributes = z.object({
  version: z.int().nonnegative().default(0),
  suspects: z.array(suspect).default([]),
  suspectsVersion: z.int().nonnegative().default(0),
});

/** Content of the head row. */
export interface Head {
  /** Number of the version in force; 0 when there is none. */
  readonly version: number;
  readonly suspects: readonly Suspect[];
  readonly suspectsVersion: number;
}

const versionAttributes = z.object({
  version: z.int().positive(),
  tree: z.instanceof(Uint8Array),
  author: z.string(),
  acceptedAt: z.number(),
  note: z.string().optional(),
  token: z.string(),
});

/** The row of a version, without its content. */
export interface VersionRecord {
  readonly version: number;
  readonly author: string;
  /** Wall-clock time. Unit: ms since 1970. */
  readonly acceptedAt: number;
  readonly note?: string;
  /** Idempotency token of the edit that created the version. */
  readonly token: string;
}

/** The table did not respond, or a row has an unexpected format. */
export interface ReadFailure {
  readonly message: string;
}

const getErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/**
 * Reads the head row.
 *
 * @param table - the table
 * @returns the head row; version 0 when the row is absent
 */
export const readHead = async (table: Table): Promise<Result<Head, ReadFailure>> => {
  const row = await table.get(headKey);
  if (row.isErr()) return err({ message: row.error.kind });
  const parsed = headAttributes.safeParse(row.value?.attributes ?? {});
  return parsed.success ? ok(parsed.data) : err({ message: parsed.error.message });
};

const decodeRecord = (row: Row): VersionRecord => {
  const { version, author, acceptedAt, note, token } = versionAttributes.parse(row.attributes);
  return { version, author, acceptedAt, token, ...(note === undefined ? {} : { note }) };
};

const decodeContent = (row: Row): ConfigurationContent => {
  const { tree } = versionAttributes.parse(row.attributes);
  // Parsing and validation block for longer than decompression, so an asynchronous gunzip gains nothing.
  // eslint-disable-next-line n/no-sync
  return configurationContent.parse(JSON.parse(gunzipSync(tree).toString('utf8')));
};

/**
 * Reads a version.
 *
 * @param table - the table
 * @param version - version number
 * @returns the version; `undefined` when it is absent
 */
export const readVersion = async (
  table: Table,
  version: number,
): Promise<Result<Configuration | undefined, ReadFailure>> => {
  const row = await table.get(versionKey(version));
  if (row.isErr()) return err({ message: row.error.kind });
  if (row.value === undefined) return ok(undefined);
  try {
    return ok({ version, content: decodeContent(row.value) });
  } catch (error) {
    return err({ message: getErrorMessage(error) });
  }
};

/**
 * Reads the record of a version.
 *
 * @param table - the table
 * @param version - version number
 * @returns the record; `undefined` when it is absent
 */
export const readVersionRecord = async (
  table: Table,
  version: number,
): Promise<Result<VersionRecord | undefined, ReadFailure>> => {
  const row = await table.get(versionKey(version));
  if (row.isErr()) return err({ message: row.error.kind });
  return ok(row.value === undefined ? undefined : decodeRecord(row.value));
};

/**
 * Reads the records of the latest versions.
 *
 * @param table - the table
 * @param limit - maximum number of records
 * @returns the records, latest first
 */
export const readHistory = async (
  table: Table,
  limit: number,
): Promise<Result<VersionRecord[], ReadFailure>> => {
  const rows = await table.query({
    pk: PARTITION,
    prefix: VERSION_PREFIX,
    limit,
    descending: true,
  });
  return rows.isErr() ? err({ message: rows.error.kind }) : ok(rows.value.map(decodeRecord));
};

/**
 * Encodes the row of a version.
 *
 * @param record - record of the version
 * @param content - content of the version
 * @returns the attributes, with the content gzipped
 */
export const encodeVersion = (
  record: VersionRecord,
  content: ConfigurationContent,
): Attributes => ({
  ...record,
  // eslint-disable-next-line n/no-sync -- see decodeContent
  tree: gzipSync(Buffer.from(JSON.stringify(content))),
});
