import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { BatchSlotAllocator } from '@jacinthlug/serving/routing/BatchSlotAllocator';
import {
  chooseBatchTarget,
  chooseTarget,
  findHoldersToNotify,
  countItemsToCancel,
  type Candidate,
} from '@jacinthlug/serving/routing/chooseTarget';

interface RoutingWorld {
  candidates: Candidate[];
  random: () => number;
  /** Chats placed, by target. */
  placed: Map<string, number>;
  chosen: string;
  allocators: BatchSlotAllocator[];
  free: number;
  /** Hosts, the first ones, that stand in another failure domain than the target. */
  remoteHosts?: number;
  allocated: number;
  occupancy: { slots: number; online: number; holders: { host: string; batch: number }[] };
}

const random = (): number => 0.5;

Given('targets', function (this: RoutingWorld, table: DataTable) {
  this.candidates = table.hashes().map((row) => ({
    target: {
      id: row.id!,
      bornAt: 1,
      service: 'chat',
      address: '127.0.0.1:1',
      failureDomain: row.domain!,
      slots: Number(row.slots),
      state: 'ready' as const,
    },
    load: { online: Number(row.online), batch: Number(row.batch) },
    usable: row.usable !== 'no',
    silentFor: Number(row.silent ?? 0),
  }));
});

When(
  'a host of domain {string} chooses for an online request',
  function (this: RoutingWorld, failureDomain: string) {
    const { candidates } = this;
    const chosen = chooseTarget({ candidates, failureDomain, excluded: new Set(), random });
    this.chosen = chosen.kind === 'target' ? chosen.target.id : chosen.kind;
  },
);

When(
  'a host of domain {string} chooses for a batch item with {int} reserved slot',
  function (this: RoutingWorld, failureDomain: string, reserve: number) {
    const { candidates } = this;
    const turns = new BatchSlotAllocator('h-1');
    const allowanceOf = ({ target, load }: Candidate): number => {
      const free = target.slots - reserve - load.online - load.batch;
      return turns.calculateAllowance(
        { target: target.id, free, nearHosts: ['h-1'], farHosts: [] },
        0,
      );
    };
    const choice = { candidates, failureDomain, allowanceOf, random };
    this.chosen = chooseBatchTarget(choice)?.id ?? 'none';
  },
);

Then('it chooses {string}', function (this: RoutingWorld, id: string) {
  assert.equal(this.chosen, id);
});

Given(
  'a target of {int} slots with {int} online requests and batch items of',
  function (this: RoutingWorld, slots: number, online: number, table: DataTable) {
    const holders = table
      .hashes()
      .map(({ host, batch }) => ({ host: host!, batch: Number(batch) }));
    this.occupancy = { slots, online, holders };
  },
);

Then(
  '{int} items leave in all, {int} of them from each host',
  function (this: RoutingWorld, all: number, each: number) {
    const { slots, online, holders } = this.occupancy;
    const batch = holders.reduce((sum, holder) => sum + holder.batch, 0);
    const shares = holders.map(({ host }) =>
      countItemsToCancel({ slots, load: { online, batch }, holders, ownName: host }),
    );
    assert.equal(
      shares.reduce((sum, share) => sum + share, 0),
      all,
    );
    assert.deepEqual(
      shares,
      holders.map(() => each),
    );
  },
);

const namesOf = (world: RoutingWorld): string[] => world.allocators.map((_, index) => `h-${index}`);

const allowanceOf = (world: RoutingWorld, turns: BatchSlotAllocator, now: number): number =>
  turns.calculateAllowance(
    {
      target: 't-1',
      free: world.free,
      nearHosts: namesOf(world).slice(world.remoteHosts ?? 0),
      farHosts: namesOf(world).slice(0, world.remoteHosts ?? 0),
    },
    now,
  );

Given(
  '{int} hosts with waiting items and a target with {int} free slots',
  function (this: RoutingWorld, hosts: number, free: number) {
    this.allocators = Array.from(
      { length: hosts },
      (_, index) => new BatchSlotAllocator(`h-${index}`),
    );
    this.free = free;
  },
);

Given('{int} of the hosts in another failure domain', function (this: RoutingWorld, far: number) {
  this.remoteHosts = far;
});

Then(
  "hosts of the target's failure domain have taken {int} of them",
  function (this: RoutingWorld, near: number) {
    const taken = this.allocators
      .slice(this.remoteHosts)
      .map((turns) => allowanceOf(this, turns, 0));
    assert.equal(
      taken.reduce((sum, each) => sum + each, 0),
      near,
    );
  },
);

When('all hosts take what they may at the same time', function (this: RoutingWorld) {
  this.allocated = this.allocators.reduce((sum, turns) => sum + allowanceOf(this, turns, 0), 0);
});

Then('{int} slots are taken', function (this: RoutingWorld, taken: number) {
  assert.equal(this.allocated, taken);
});

When('the host takes a slot at {int} ms', function (this: RoutingWorld, now: number) {
  this.allocators[0]!.recordAllocation('t-1', now, 150);
});

When('the host makes room at {int} ms', function (this: RoutingWorld, now: number) {
  this.allocators[0]!.recordPreemption('t-1', now);
});

Then(
  'it may take {int} slots at {int} ms',
  function (this: RoutingWorld, slots: number, now: number) {
    assert.equal(allowanceOf(this, this.allocators[0]!, now), slots);
  },
);

Then('host {string} tells {string}', function (this: RoutingWorld, ownName: string, told: string) {
  const { slots, online, holders } = this.occupancy;
  const batch = holders.reduce((sum, holder) => sum + holder.batch, 0);
  const names = findHoldersToNotify({ slots, load: { online, batch }, holders, ownName });
  assert.equal(names.join(', '), told);
});

Given(
  /^(\d+) targets of (\d+) slots with free slots ([\d, ]+), seed (\d+)$/,
  function (this: RoutingWorld, _: number, slots: number, free: string, seed: number) {
    this.random = createRandom(seed);
    this.candidates = free.split(', ').map((each, index) => ({
      target: {
        id: `t-${index + 1}`,
        bornAt: 1,
        service: 'chat',
        address: '127.0.0.1:1',
        failureDomain: 'a',
        slots,
        state: 'ready' as const,
      },
      load: { online: slots - Number(each), batch: 0 },
      usable: true,
      silentFor: 0,
    }));
  },
);

When(
  '{int} hosts with the same knowledge place a chat each',
  function (this: RoutingWorld, hosts: number) {
    this.placed = new Map();
    const choice = { failureDomain: 'a', excluded: new Set<string>(), random: this.random };
    for (let host = 0; host < hosts; host += 1) {
      const chosen = chooseTarget({ candidates: this.candidates, ...choice });
      assert.equal(chosen.kind, 'target');
      if (chosen.kind !== 'target') return;
      this.placed.set(chosen.target.id, (this.placed.get(chosen.target.id) ?? 0) + 1);
    }
  },
);

Then('at most {int} chats wait for a slot', function (this: RoutingWorld, most: number) {
  const waiting = this.candidates.map(({ target, load }) =>
    Math.max(0, load.online + (this.placed.get(target.id) ?? 0) - target.slots),
  );
  const total = waiting.reduce((sum, each) => sum + each, 0);
  assert.ok(total <= most, `${total} chats wait`);
});
