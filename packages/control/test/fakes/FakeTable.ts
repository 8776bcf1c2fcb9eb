/** A table in memory that can be down, cut off from one process, or lose answers. */
import type { Row, RowKey, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { RowStore } from '@jacinthlug/backing/testing/RowStore';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Clock } from '../../src/time/Clock.js';
import type { Simulation } from './Simulation.js';

/** State shared by the tables of all processes. */
export class FakeTable {
  isDown = false;

  /** Names of processes that do not reach the table. */
  readonly cutOff = new Set<string>();

  /** Probability that the answer of a write is lost. */
  responseLossProbability = 0;

  /** Answers of the next writes that are lost. */
  responsesToLose = 0;

  /** Reads of the head row of the configuration. */
  headReads = 0;

  readonly #store = new RowStore();

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
          const outcome = this.#store.transact(writes, token);
          const isLost =
            this.responsesToLose > 0 || this.simulation.random() < this.responseLossProbability;
          this.responsesToLose = Math.max(0, this.responsesToLose - 1);
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
          return this.#store.get(key);
        }),
      query: (query) => read(() => this.#store.query(query)),
      transact,
      transactWithRetry: (writes, token, deadline) =>
        new ResultAsync(settle(writes, token, deadline)),
      close: () => undefined,
    };
  }

  /** Reads a row directly. */
  row(key: RowKey): Row | undefined {
    return this.#store.get(key);
  }
}
