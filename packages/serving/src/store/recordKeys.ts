/** Finds records by their keys. */
import type { RecordKey, RecordRange, StoredRecord } from './RecordStore.js';

/**
 * Compares the keys of two records.
 *
 * @param a - a key
 * @param b - another key
 * @returns whether they identify the same record
 */
export const isSameKey = (a: RecordKey, b: RecordKey): boolean =>
  a.table === b.table && a.partition === b.partition && a.key === b.key;

/**
 * Finds the record with a key.
 *
 * @param records - records of any tables
 * @param key - the key
 * @returns the record; undefined if there is none
 */
export const findRecord = (
  records: readonly StoredRecord[],
  key: RecordKey,
): StoredRecord | undefined => records.find((record) => isSameKey(record, key));

/**
 * Creates the range that contains only one key.
 *
 * @param key - the key
 * @returns the range
 */
export const rangeOf = ({ table, partition, key }: RecordKey): RecordRange => ({
  table,
  partition,
  from: key,
  to: `${key}\u0001`,
});
