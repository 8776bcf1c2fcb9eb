import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { StoreContact } from '@jacinthlug/serving/store/StoreContact';
import { TableFollower, type TableListener } from '@jacinthlug/serving/store/TableFollower';
import { errAsync, okAsync } from 'neverthrow';
import { FakeClock } from '../fakes/FakeClock.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';
import { createListedTarget } from '../fakes/createListedTarget.js';

const TARGETS = 'targets';

const OTHER = 'other';

/** Time after which a follower has called the store again. Unit: ms. */
const RETRY_TIME_MS = 700;

const tablesByName: Readonly<Record<string, readonly string[]>> = {
  'both tables': [TARGETS, OTHER],
  'the targets': [TARGETS],
};

interface OutagesWorld {
  clock: FakeClock;
  store: MemoryRecordStore;
  list: TargetList;
  followers: TableFollower[];
  /** Tables for which calls fail. */
  failingTables: readonly string[];
}

const createStore = (world: OutagesWorld): MemoryRecordStore => {
  const store = new MemoryRecordStore();
  store.enableLongPolling(world.clock);
  const follow = store.follow.bind(store);
  store.follow = (table, after, holdMs) => {
    const failure = { kind: 'unknown' as const, message: 'connection reset' };
    const isFailing = (): boolean => world.failingTables.includes(table);
    if (isFailing()) return errAsync(failure);
    return follow(table, after, holdMs).andThen((page) =>
      isFailing() ? errAsync(failure) : okAsync(page),
    );
  };
  return store;
};

const createListener = (list: TargetList, timeSinceOutage: () => number): TableListener => ({
  replace: (records) =>
    list.replace(
      records.map(({ key }) => createListedTarget(key)),
      timeSinceOutage(),
    ),
  apply: (changes) =>
    changes.forEach((change) => {
      if (change.kind === 'removed') list.remove(change.key.key, timeSinceOutage());
      else list.put(createListedTarget(change.record.key));
    }),
});

Given(
  'a host that follows targets {string} and {string} and another table',
  async function (this: OutagesWorld, first: string, second: string) {
    const clock = new FakeClock();
    const list = new TargetList(silentJournal);
    Object.assign(this, { clock, list, failingTables: [] });
    this.store = createStore(this);
    const writes = [first, second].map((key) => ({
      table: TARGETS,
      partition: '',
      key,
      value: Buffer.from('{}'),
    }));
    await this.store.commit({ conditions: [], writes });
    const contact = new StoreContact();
    const dependencies = {
      store: this.store,
      journal: silentJournal,
      clock,
      contact,
      readTimestamp: () => ({ monotonic: clock.now(), wall: clock.now() }),
    };
    const options = { holdMs: 1000, intervalMs: 0 };
    const ignore: TableListener = { replace: () => undefined, apply: () => undefined };
    this.followers = [
      new TableFollower(
        { table: TARGETS, ...options },
        createListener(list, () => contact.timeSinceOutage(clock.now())),
        dependencies,
      ),
      new TableFollower({ table: OTHER, ...options }, ignore, dependencies),
    ];
    this.followers.forEach((follower) => {
      void follower.run();
    });
    await clock.advance(1500);
  },
);

When(
  /^calls for (.+) fail for (\d+) ms, and target "(.+)" leaves meanwhile$/,
  async function (this: OutagesWorld, tables: string, ms: string, key: string) {
    this.failingTables = tablesByName[tables]!;
    await this.clock.advance(Number(ms) / 2);
    const removals = [{ table: TARGETS, partition: '', key }];
    await this.store.commit({ conditions: [], writes: [], removals });
    await this.clock.advance(Number(ms) / 2);
  },
);

When(
  /^calls for the targets fail for (\d+) ms longer$/,
  async function (this: OutagesWorld, ms: string) {
    this.failingTables = [TARGETS];
    await this.clock.advance(Number(ms));
  },
);

When('calls for both tables get responses again', async function (this: OutagesWorld) {
  this.failingTables = [];
  await this.clock.advance(RETRY_TIME_MS);
});

When(
  /^target "(.+)" leaves (\d+) ms after an outage of the store$/,
  function (this: OutagesWorld, id: string, ms: string) {
    this.list.remove(id, Number(ms));
  },
);

Then(
  'listeners of the list hear that only {string} is left',
  async function (this: OutagesWorld, id: string) {
    let heard = this.list.list();
    this.list.onChange(() => {
      heard = this.list.list();
    });
    while (this.list.listReady('chat').length > 1) await sleep(10);
    assert.deepEqual(
      heard.map((target) => target.id),
      [id],
    );
  },
);

Then('the host uses targets {string}', async function (this: OutagesWorld, ids: string) {
  this.failingTables = [];
  await this.clock.advance(RETRY_TIME_MS);
  const used = this.list.listReady('chat').map(({ id }) => id);
  assert.equal(used.join(', '), ids);
});

After(async function (this: Partial<OutagesWorld>) {
  if (!this.failingTables) return;
  this.followers?.forEach((follower) => follower.stop());
  await this.clock?.advance(5000);
});
