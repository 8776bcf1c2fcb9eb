/** A table in memory whose answers can be lost, late or refused. */
import type {
  Attributes,
  Condition,
  Row,
  RowKey,
  Table,
  TableFailure,
  Write,
} from '@jacinthlug/platform/Table';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';

const nameOf = ({ pk, sk }: RowKey): string => `${pk}\n${sk}`;

const holds = (attributes: Attributes | undefined, condition: Condition): boolean => {
  if (condition.kind === 'absent') return attributes === undefined;
  if (condition.kind !== 'equals') throw new Error('the claims use no other conditions');
  return attributes?.[condition.attribute] === condition.value;
};

const unknown: TableFailure = { kind: 'unknown', message: 'no answer' };

const unavailable: TableFailure = { kind: 'unavailable', message: 'down' };

/** A table in memory. */
export class FakeTable {
  readonly rows = new Map<string, Attributes>();

  /** Refuses every call. */
  down = false;

  /** Answers of the next writes that are lost after the write took effect. */
  lostAnswers = 0;

  /** Next writes whose request is delayed until {@link land}; they answer `unknown`. */
  lateWrites = 0;

  /** Called once, before the next write takes effect. */
  duringWrite: (() => void) | undefined;

  private readonly outcomes = new Map<string, TableFailure | undefined>();

  private readonly late: (() => void)[] = [];

  /** Gives the table as one host sees it; a host whose link is cut gets no answers. */
  asTable(link: { isCut: boolean }): Table {
    const reach = <Answer>(call: () => ResultAsync<Answer, TableFailure>) =>
      link.isCut ? errAsync<Answer, TableFailure>(unavailable) : call();
    return {
      get: (key) => reach(() => this.get(key)),
      // The claims use no ranges.
      query: () => errAsync(unavailable),
      transact: (writes, token) => reach(() => this.transact(writes, token)),
      settle: (writes, token, deadline) => reach(() => this.settle(writes, token, deadline)),
      close: () => undefined,
    };
  }

  /** Lets delayed writes take effect. */
  land(): void {
    this.late.splice(0).forEach((apply) => apply());
  }

  private get(key: RowKey): ResultAsync<Row | undefined, TableFailure> {
    if (this.down) return errAsync(unavailable);
    const attributes = this.rows.get(nameOf(key));
    return okAsync(attributes && { ...key, attributes });
  }

  private transact(writes: readonly Write[], token: string): ResultAsync<void, TableFailure> {
    if (this.down) return errAsync(unavailable);
    if (this.lateWrites > 0) {
      this.lateWrites -= 1;
      this.late.push(() => this.apply(writes, token));
      return errAsync(unknown);
    }
    const failure = this.apply(writes, token);
    if (this.lostAnswers > 0) {
      this.lostAnswers -= 1;
      return errAsync(unknown);
    }
    return failure ? errAsync(failure) : okAsync(undefined);
  }

  private settle(
    writes: readonly Write[],
    token: string,
    deadline: number,
  ): ResultAsync<void, TableFailure> {
    return this.transact(writes, token).orElse((failure) =>
      failure.kind === 'unknown' && this.lostAnswers > 0 && performance.now() < deadline
        ? this.settle(writes, token, deadline)
        : errAsync(failure),
    );
  }

  private apply(writes: readonly Write[], token: string): TableFailure | undefined {
    const { duringWrite } = this;
    this.duringWrite = undefined;
    duringWrite?.();
    if (this.outcomes.has(token)) return this.outcomes.get(token);
    const failed = writes.flatMap((write, index) => {
      const attributes = this.rows.get(nameOf(write.key));
      const conditions = write.conditions ?? [];
      return conditions.every((each) => holds(attributes, each)) ? [] : [index];
    });
    const failure: TableFailure | undefined =
      failed.length > 0 ? { kind: 'conflict', failed } : undefined;
    if (!failure) writes.forEach((write) => this.write(write));
    this.outcomes.set(token, failure);
    return failure;
  }

  private write(write: Write): void {
    const name = nameOf(write.key);
    if (write.kind === 'delete') this.rows.delete(name);
    if (write.kind === 'put') this.rows.set(name, write.attributes);
    if (write.kind === 'update') this.rows.set(name, { ...this.rows.get(name), ...write.set });
  }
}
