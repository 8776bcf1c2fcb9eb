import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { TableFollower } from '@jacinthlug/serving/store/TableFollower';
import { errAsync } from 'neverthrow';
import { SteppedClock } from '../fakes/SteppedClock.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const TABLE = 'things';

interface FollowingWorld {
  clock: SteppedClock;
  store: MemoryRecordStore;
  follower: TableFollower;
  rows: Set<string>;
  reads: number;
}

const write = async (store: MemoryRecordStore, key: string): Promise<void> => {
  const value = Buffer.from('x');
  await store.commit({ conditions: [], writes: [{ table: TABLE, partition: '', key, value }] });
};

Given(
  'a follower of a table with a least interval of {int} ms',
  async function (this: FollowingWorld, intervalMs: number) {
    this.clock = new SteppedClock();
    this.store = new MemoryRecordStore();
    this.rows = new Set();
    this.reads = 0;
    const { store, rows, clock } = this;
    const follow = store.follow.bind(store);
    store.follow = (...call) => {
      this.reads += 1;
      return follow(...call);
    };
    const listener = {
      replace: (records: readonly { key: string }[]) => {
        rows.clear();
        records.forEach(({ key }) => rows.add(key));
      },
      apply: (changes: readonly { kind: string; record?: { key: string } }[]) =>
        changes.forEach(({ record }) => record && rows.add(record.key)),
    };
    this.follower = new TableFollower({ table: TABLE, holdMs: 50, intervalMs }, listener, {
      store,
      journal: silentJournal,
      clock,
      readMoment: () => ({ monotonic: clock.now(), wall: clock.now() }),
    });
    store.holdWith(clock);
    void this.follower.run();
    await clock.advance(100);
  },
);

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

When('the store is away for {int} ms', async function (this: FollowingWorld, ms: number) {
  this.store.down = true;
  await this.clock.advance(ms);
});

When('the store is back', async function (this: FollowingWorld) {
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

Then('the listener knows rows {string}', function (this: FollowingWorld, keys: string) {
  assert.deepEqual([...this.rows].sort(), keys.split(', '));
});

Then('the proof is less than {int} ms old', function (this: FollowingWorld, ms: number) {
  assert.ok(this.follower.age < ms, `${this.follower.age} ms`);
});

Then('the proof is at least {int} ms old', function (this: FollowingWorld, ms: number) {
  assert.ok(this.follower.age >= ms, `${this.follower.age} ms`);
});

Then('the follower knows that the store came back', function (this: FollowingWorld) {
  assert.ok(Number.isFinite(this.follower.sinceReturn));
});

Then('the store was read at most {int} times', function (this: FollowingWorld, most: number) {
  assert.ok(this.reads <= most, `${this.reads} reads`);
});
