import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { RecordChange } from '@jacinthlug/serving/store/RecordStore';
import { TableFollower } from '@jacinthlug/serving/store/TableFollower';
import { errAsync, ResultAsync } from 'neverthrow';
import { FakeClock } from '../fakes/FakeClock.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const TABLE = 'things';

interface FollowingWorld {
  clock: FakeClock;
  store: MemoryRecordStore;
  follower: TableFollower;
  rows: Set<string>;
  reads: number;
  /** Row on which the listener throws an error. */
  failingRow: string | undefined;
  events: { readonly name: string; readonly facts: object }[];
  /** Delivers the response that the store has withheld. */
  deliver: () => void;
}

const remove = async (store: MemoryRecordStore, key: string): Promise<void> => {
  await store.commit({
    conditions: [],
    writes: [],
    removals: [{ table: TABLE, partition: '', key }],
  });
};

const write = async (store: MemoryRecordStore, key: string): Promise<void> => {
  const value = Buffer.from('x');
  await store.commit({ conditions: [], writes: [{ table: TABLE, partition: '', key, value }] });
};

/** Time between the timeout of a long poll and the abort of the call without a response. Unit: ms. */
const CALL_TIMEOUT_MARGIN_MS = 700;

const startFollower = async (
  world: FollowingWorld,
  holdMs: number,
  intervalMs: number,
): Promise<void> => {
  const clock = new FakeClock();
  const store = new MemoryRecordStore();
  const rows = new Set<string>();
  const events: FollowingWorld['events'] = [];
  Object.assign(world, { clock, store, rows, reads: 0, events });
  const addRow = (key: string): void => {
    if (key === world.failingRow) throw new Error(`row ${key}`);
    rows.add(key);
  };
  const follow = store.follow.bind(store);
  store.follow = (...call) => {
    Object.assign(world, { reads: world.reads + 1 });
    return follow(...call);
  };
  const listener = {
    replace: (records: readonly { key: string }[]) => {
      rows.clear();
      records.forEach(({ key }) => addRow(key));
    },
    apply: (changes: readonly RecordChange[]) =>
      changes.forEach((change) => {
        if (change.kind === 'written') addRow(change.record.key);
        else rows.delete(change.key.key);
      }),
  };
  const follower = new TableFollower({ table: TABLE, holdMs, intervalMs }, listener, {
    store,
    journal: { record: (name, facts = {}) => events.push({ name, facts }) },
    clock,
    readTimestamp: () => ({ monotonic: clock.now(), wall: clock.now() }),
  });
  Object.assign(world, { follower });
  store.enableLongPolling(clock);
  void follower.run();
  await clock.advance(100);
};

Given(
  'a follower of a table with a minimum interval of {int} ms',
  function (this: FollowingWorld, intervalMs: number) {
    return startFollower(this, 50, intervalMs);
  },
);

Given(
  'a follower of a table with a long poll timeout of {int} ms',
  function (this: FollowingWorld, holdMs: number) {
    return startFollower(this, holdMs, 0);
  },
);

When('the store does not respond for {int} ms', async function (this: FollowingWorld, ms: number) {
  const { store, clock } = this;
  const follow = store.follow.bind(store);
  const unresponsiveUntil = clock.now() + ms;
  store.follow = (table, after, holdMs = 0) => {
    if (clock.now() >= unresponsiveUntil) return follow(table, after, holdMs);
    const timedOut = clock.sleep(holdMs + CALL_TIMEOUT_MARGIN_MS);
    return ResultAsync.fromSafePromise(timedOut).andThen(() =>
      errAsync({ kind: 'unknown' as const, message: 'no response' }),
    );
  };
  await clock.advance(ms);
});

When('the store responds again for {int} ms', async function (this: FollowingWorld, ms: number) {
  await this.clock.advance(ms);
});

After(async function (this: Partial<FollowingWorld>) {
  this.follower?.stop();
  await this.clock?.advance(5000);
});

When(
  'rows {string} and {string} are written',
  async function (this: FollowingWorld, first: string, second: string) {
    await write(this.store, first);
    await write(this.store, second);
    await this.clock.advance(200);
  },
);

Given('a listener that fails on row {string}', function (this: FollowingWorld, row: string) {
  this.failingRow = row;
});

const writeTogether = async (world: FollowingWorld, keys: string[]): Promise<void> => {
  const value = Buffer.from('x');
  const writes = keys.map((key) => ({ table: TABLE, partition: '', key, value }));
  await world.store.commit({ conditions: [], writes });
};

When(
  'rows {string}, {string} and {string} are written together',
  async function (this: FollowingWorld, first: string, second: string, third: string) {
    await writeTogether(this, [first, second, third]);
    await this.clock.advance(200);
  },
);

When(
  'rows {string}, {string} and {string} are written before the whole table is read again',
  async function (this: FollowingWorld, first: string, second: string, third: string) {
    const { store } = this;
    const follow = store.follow.bind(store);
    store.follow = () => {
      store.follow = follow;
      return errAsync({ kind: 'history-lost' });
    };
    await writeTogether(this, [first, second, third]);
    store.changes.splice(0);
    await this.clock.advance(200);
  },
);

When('a call to the store fails with an unexpected error', async function (this: FollowingWorld) {
  const { store } = this;
  const follow = store.follow.bind(store);
  store.follow = () => {
    store.follow = follow;
    return ResultAsync.fromSafePromise(Promise.reject(new Error('unexpected')));
  };
  await this.clock.advance(1000);
});

Then('the failure on row {string} was logged', function (this: FollowingWorld, row: string) {
  const failures = this.events.filter(({ name }) => name === 'unhandled-fault');
  assert.ok(JSON.stringify(failures).includes(`row ${row}`));
});

When(
  'the response to a long poll with row {string} is delayed',
  async function (this: FollowingWorld, key: string) {
    const { store, clock } = this;
    const follow = store.follow.bind(store);
    const delivered = new Promise<void>((resolve) => {
      this.deliver = resolve;
    });
    store.follow = (...call) => {
      store.follow = follow;
      return ResultAsync.fromSafePromise(write(store, key))
        .andThen(() => follow(...call))
        .andThen((page) => ResultAsync.fromSafePromise(delivered.then(() => page)));
    };
    await clock.advance(200);
  },
);

When('row {string} is removed', function (this: FollowingWorld, key: string) {
  return remove(this.store, key);
});

When('the store no longer retains the history', function (this: FollowingWorld) {
  const { store } = this;
  const follow = store.follow.bind(store);
  const { revision } = store;
  store.follow = (table, after, holdMs) =>
    after < revision ? errAsync({ kind: 'history-lost' }) : follow(table, after, holdMs);
});

When('the follower catches up', async function (this: FollowingWorld) {
  const result = this.follower.catchUp();
  await this.clock.advance(100);
  assert.ok(await result);
});

When('the delayed response arrives', async function (this: FollowingWorld) {
  this.deliver();
  await this.clock.advance(10);
});

Then("the follower can't catch up", async function (this: FollowingWorld) {
  assert.ok(!(await this.follower.catchUp()));
});

When('the store is unavailable for {int} ms', async function (this: FollowingWorld, ms: number) {
  this.store.down = true;
  await this.clock.advance(ms);
});

When('the store is available again', async function (this: FollowingWorld) {
  this.store.down = false;
  await this.clock.advance(800);
});

When(
  'row {string} is written and the history of the store is lost',
  async function (this: FollowingWorld, key: string) {
    const { store } = this;
    const follow = store.follow.bind(store);
    store.follow = () => {
      store.follow = follow;
      return errAsync({ kind: 'history-lost' });
    };
    await write(store, key);
    store.changes.splice(0);
    await this.clock.advance(200);
  },
);

When(
  '{int} rows are written within {int} ms',
  async function (this: FollowingWorld, count: number, ms: number) {
    this.reads = 0;
    for (let row = 0; row < count; row += 1) {
      await write(this.store, `row-${row}`);
      await this.clock.advance(ms / count);
    }
  },
);

Then('the listener has rows {string}', function (this: FollowingWorld, keys: string) {
  assert.deepEqual([...this.rows].sort().join(', '), keys);
});

Then('the data was confirmed less than {int} ms ago', function (this: FollowingWorld, ms: number) {
  assert.ok(this.follower.age < ms, `${this.follower.age} ms`);
});

Then('the data was confirmed at least {int} ms ago', function (this: FollowingWorld, ms: number) {
  assert.ok(this.follower.age >= ms, `${this.follower.age} ms`);
});

Then('the follower has detected the recovery of the store', function (this: FollowingWorld) {
  assert.ok(Number.isFinite(this.follower.timeSinceRecovery));
});

Then('the store was read at most {int} times', function (this: FollowingWorld, max: number) {
  assert.ok(this.reads <= max, `${this.reads} reads`);
});
