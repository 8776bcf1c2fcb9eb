/** Fencing number for orders to one target, kept in the table row `order#<target>`. */
import { randomUUID } from 'node:crypto';
import type { Row, Table, TableFailure } from '@jacinthlug/backing/Table';
import { err, ok, type Result } from 'neverthrow';

/** A fencing number acquired by this process. */
export interface AcquiredNumber {
  readonly number: number;
  /** Whether another process held the previous number; its orders may still be in transit. */
  readonly isTakeover: boolean;
}

/** Timeout for finding out whether a write with an unknown outcome succeeded. Unit: ms. */
const WRITE_TIMEOUT_MS = 5000;

const readNumber = (row: Row | undefined): number => Number(row?.attributes.number ?? 0);

/** Fencing number for orders to one target. */
export class FencingNumber {
  private readonly key: { readonly pk: string; readonly sk: string };

  /**
   * @param table - the platform's table
   * @param target - name of the target
   * @param holder - identifies this start of the process
   */
  constructor(
    private readonly table: Table,
    target: string,
    private readonly holder: string,
  ) {
    this.key = { pk: `order#${target}`, sk: 'fencing' };
  }

  /**
   * Acquires the next number.
   *
   * @returns the number; `conflict` when another process acquired it at the same time
   */
  async acquire(): Promise<Result<AcquiredNumber, TableFailure>> {
    const row = await this.table.get(this.key);
    if (row.isErr()) return err(row.error);
    const previous = readNumber(row.value);
    const number = previous + 1;
    const condition =
      row.value === undefined
        ? ({ kind: 'absent' } as const)
        : ({ kind: 'equals', attribute: 'number', value: previous } as const);
    const attributes = { number, holder: this.holder };
    const written = await this.table.transactWithRetry(
      [{ kind: 'put', key: this.key, attributes, conditions: [condition] }],
      randomUUID(),
      performance.now() + WRITE_TIMEOUT_MS,
    );
    const isTakeover = row.value !== undefined && row.value.attributes.holder !== this.holder;
    return written.isErr() ? err(written.error) : ok({ number, isTakeover });
  }

  /**
   * Checks, with a consistent read, whether a number is still the highest.
   *
   * @param number - number that this process acquired
   * @returns whether no other process has acquired a higher one
   */
  async isHighest(number: number): Promise<Result<boolean, TableFailure>> {
    const row = await this.table.get(this.key);
    return row.map((current) => readNumber(current) === number);
  }
}
