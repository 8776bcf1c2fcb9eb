/** In-memory table that can be down, be unreachable from one process, or lose responses. */
import type { Row, RowKey, Table, TableFailure, Write } from '@jacinthlug/backing/Table';
import { RowStore } from '@jacinthlug/backing/testing/RowStore';
import { err, ok, ResultAsync, type Result } from 'neverthrow';
import type { Clock } from '../../src/time/Clock.js';
import type { Simulation } from './Simulation.js';

/** State shared by the tables of all processes. */
export class FakeTable {
  isDown = false;

  /** Names of processes that cannot reach the table. */
  readonly disconnected = new Set<string>();

  /** Probability that the response to a write is lost. */
  responseLossProbability = 0;

  /** Number of writes, from the next one, whose responses are lost. */
  responsesToLose = 0;

  /** Number of reads of the head row of the configuration. */
  headReads = 0;

  readonly #store = new RowStore();

  constructor(private readonly simulation: Simulation) {}

  /** Returns the table as seen by one process. */
  open(name: string, clock: Clock): Table {
    const isReachable = (): boolean => !this.isDown && !this.disconnected.has(name);
    const delay = (): Promise<void> => clock.sleep(1 + this.simulation.random() * 4);
    const read = <Value>(get: () => Value): ResultAsync<Value, TableFailure> =>
      new ResultAsync(
        (async () => {
          await delay();
          if (!isReachable()) return err({ kind: 'unavailable', message: 'down' } as const);
          const value = get();
          await delay();
          return ok(value);
        })(),
      );
    const transact = (writes: readonly Write[], token: string): ResultAsync<void, TableFailure> =>
      new ResultAsync(
        (async () => {
          await delay();
          if (!isReachable()) return err({ kind: 'unavailable', message: 'down' } as const);
          const outcome = this.#store.transact(writes, token);
          const isLost =
            this.responsesToLose > 0 || this.simulation.random() < this.responseLossProbability;
          this.responsesToLose = Math.max(0, this.responsesToLose - 1);
          await delay();
          return isLost ? err({ kind: 'unknown', message: 'response lost' } as const) : outcome;
        })(),
      );
    const transactWithRetry = async (
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
        if (clock.now() > deadline) return err({ kind: 'unknown', message: 'outcome unknown' });
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
        new ResultAsync(transactWithRetry(writes, token, deadline)),
      close: () => undefined,
    };
  }

  /** Returns a row without faults or delays. */
  row(key: RowKey): Row | undefined {
    return this.#store.get(key);
  }
}
