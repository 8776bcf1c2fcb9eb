/** Fake of the table that supports reads and conditional puts. */
import type { Row, RowKey, Table, Write } from '@jacinthlug/backing/Table';
import { errAsync, okAsync } from 'neverthrow';

const notSupported = () =>
  errAsync({ kind: 'unavailable' as const, message: 'not served by the fake' });

const formatKey = ({ pk, sk }: RowKey): string => `${pk}/${sk}`;

/** Fake of the table; a test may write its rows directly. */
export interface FakeTable extends Table {
  readonly rows: Map<string, Row>;
  reads: number;
}

export const createFakeTable = (): FakeTable => {
  const rows = new Map<string, Row>();
  const meetsConditions = ({ key, conditions = [] }: Write): boolean =>
    conditions.every((condition) => {
      const row = rows.get(formatKey(key));
      if (condition.kind === 'absent') return row === undefined;
      return (
        condition.kind === 'equals' && row?.attributes[condition.attribute] === condition.value
      );
    });
  const table: FakeTable = {
    rows,
    reads: 0,
    get(key) {
      table.reads += 1;
      return okAsync(rows.get(formatKey(key)));
    },
    transactWithRetry(writes) {
      if (!writes.every(meetsConditions)) return errAsync({ kind: 'conflict', failed: [0] });
      writes.forEach((write) => {
        if (write.kind === 'put') rows.set(formatKey(write.key), { ...write.key, ...write });
      });
      return okAsync(undefined);
    },
    query: notSupported,
    transact: notSupported,
    close: () => undefined,
  };
  return table;
};
