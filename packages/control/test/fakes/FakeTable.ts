/** A table in memory that can be down, cut off from one process, or lose answers. */
import type {
  Condition,
  Row,
  RowKey,
  Table,
  TableFailure,
  Write,
} from '@jacinthlug/platform/Table';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Clock } from '../../src/time/Clock.js';
import type { Simulation } from './Simulation.js';

const keyOf = ({ pk, sk }: RowKey): string => `${pk}/${sk}`;

const holds = (row: Row | undefined, condition: Condition): boolean => {
  const checks: Record<Condition['kind'], () => boolean> = {
    absent: () => row === undefined,
    present: () => row !== undefined,
    equals: () =>
      condition.kind === 'equals' && row?.attributes[condition.attribute] === condition.value,
    less: () =>
      condition.kind === 'less' && Number(row?.attributes[condition.attribute]) < condition.value,
    missing: () =>
      condition.kind === 'missing' && row?.attributes[condition.attribute] === undefined,
  };
  return checks[condition.kind]();
};

/** State shared by the tables of all processes. */
export class FakeTable {
  isDown = false;

  /** Names of processes that do not reach the table. */
  readonly cutOff = new Set<string>();

  /** Probability that the answer of a write is lost. */
  loss = 0;

  /** Answers of the next writes that are lost. */
  loseNext = 0;

  /** Reads of the head row of the configuration. */
  headReads = 0;

  readonly #rows = new Map<string, Row>();

  readonly #outcomes = new Map<string, Result<void, TableFailure>>();

  constructor(private readonly simulation: Simulation) {}

  /** Opens the table as one process sees it. */
  open(name: string, clock: Clock): Table {
    const reach = (): boolean => !this.isDown && !this.cutOff.has(name);
    const delay = (): Promise<void> => clock.sleep(1 + this.simulation.random() * 4);
    const read = <Value>(get: () => Value): ResultAsync<Value, TableFailure> =>
      new ResultAsync(
        (async () => {
          await delay();
          if (!reach()) return err({ kind: 'unavailable', message: 'down' } as const);
          const value = get();
          await delay();
          return ok(value);
        })(),
      );
    const transact = (writes: readonly Write[], token: string): ResultAsync<void, TableFailure> =>
      new ResultAsync(
        (async () => {
          await delay();
          if (!reach()) return err({ kind: 'unavailable', message: 'down' } as const);
          const outcome = this.#apply(writes, token);
          const isLost = this.loseNext > 0 || this.simulation.random() < this.loss;
          this.loseNext = Math.max(0, this.loseNext - 1);
          await delay();
          return isLost ? err({ kind: 'unknown', message: 'answer lost' } as const) : outcome;
        })(),
      );
    const settle = async (
      writes: readonly Write[],
      token: string,
      deadline: number,
    ): Promise<Result<void, TableFailure>> => {
      let isUnknown = false;
      for (;;) {
        const outcome = await transact(writes, token);
        const failure = outcome.isErr() ? outcome.error : undefined;
        if (failure?.kind === 'unknown') isUnknown = true;
        const isRepeatable = isUnknown && failure !== undefined && failure.kind !== 'conflict';
        if (!isRepeatable) return outcome;
        if (clock.now() > deadline) return err({ kind: 'unknown', message: 'not settled' });
        await clock.sleep(100);
      }
    };
    return {
      get: (key) =>
        read(() => {
          if (key.sk === 'head') this.headReads += 1;
          return this.#rows.get(keyOf(key));
        }),
      query: ({ pk, prefix = '', limit = Infinity, descending = false }) =>
        read(() => {
          const rows = [...this.#rows.values()]
            .filter((row) => row.pk === pk && row.sk.startsWith(prefix))
            .sort((left, right) => (left.sk < right.sk ? -1 : 1));
          return (descending ? rows.reverse() : rows).slice(0, limit);
        }),
      transact,
      settle: (writes, token, deadline) => new ResultAsync(settle(writes, token, deadline)),
      close: () => undefined,
    };
  }

  /** Reads a row directly. */
  row(key: RowKey): Row | undefined {
    return this.#rows.get(keyOf(key));
  }

  #apply(writes: readonly Write[], token: string): Result<void, TableFailure> {
    const known = this.#outcomes.get(token);
    if (known) return known;
    const failed = writes.flatMap(({ key, conditions = [] }, index) =>
      conditions.every((condition) => holds(this.row(key), condition)) ? [] : [index],
    );
    if (failed.length > 0) return err({ kind: 'conflict', failed });
    writes.forEach((write) => this.#write(write));
    this.#outcomes.set(token, ok(undefined));
    return ok(undefined);
  }

  #write(write: Write): void {
    const name = keyOf(write.key);
    const handlers: Record<Write['kind'], () => void> = {
      put: () =>
        write.kind === 'put' &&
        this.#rows.set(name, { ...write.key, attributes: write.attributes }),
      update: () =>
        write.kind === 'update' &&
        this.#rows.set(name, {
          ...write.key,
          attributes: { ...this.#rows.get(name)?.attributes, ...write.set },
        }),
      delete: () => this.#rows.delete(name),
      check: () => undefined,
    };
    handlers[write.kind]();
  }
}
