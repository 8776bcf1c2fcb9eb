import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { BatchSlotAllocator } from '@jacinthlug/serving/routing/BatchSlotAllocator';
import { SlotTurns } from '@jacinthlug/serving/routing/SlotTurns';
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
  /** Number of placed chats by target. */
  placed: Map<string, number>;
  chosen: string;
  allocators: BatchSlotAllocator[];
  free: number;
  /** Number of hosts in another failure domain than the target; they are the first ones. */
  remoteHosts?: number;
  allocated: number;
  turns: SlotTurns;
  observation: { othersBatch: number; at: number; stepMs: number; turnMs: number };
  occupancy: { slots: number; online: number; holders: { host: string; batch: number }[] };
}

const random = (): number => 0.5;

const chooseForOnline = (
  world: RoutingWorld,
  failureDomain: string,
  isContinuation: boolean,
): void => {
  const { candidates } = world;
  const excluded = new Set<string>();
  const chosen = chooseTarget({ candidates, failureDomain, excluded, isContinuation, random });
  Object.assign(world, { chosen: chosen.kind === 'target' ? chosen.target.id : chosen.kind });
};

Given('targets', function (this: RoutingWorld, table: DataTable) {
  this.candidates = table.hashes().map((row) => ({
    target: {
      id: row.id!,
      bornAt: 1,
      version: 'v1',
      service: 'chat',
      address: '127.0.0.1:1',
      failureDomain: row.domain!,
      slots: Number(row.slots),
      state: 'ready' as const,
    },
    load: { online: Number(row.online), batch: Number(row.batch) },
    usable: row.usable !== 'no',
    responsive: row.responsive !== 'no',
    unresponsiveReports: Number(row.unresponsive ?? 0),
  }));
});

When(
  'a host in failure domain {string} chooses a target for an online request',
  function (this: RoutingWorld, failureDomain: string) {
    chooseForOnline(this, failureDomain, false);
  },
);

When(
  'a host in failure domain {string} chooses a target to continue a stream',
  function (this: RoutingWorld, failureDomain: string) {
    chooseForOnline(this, failureDomain, true);
  },
);

When(
  'a host in failure domain {string} chooses a target for a batch item with {int} reserved slot',
  function (this: RoutingWorld, failureDomain: string, reserved: number) {
    const { candidates } = this;
    const allocator = new BatchSlotAllocator('h-1');
    const allowanceOf = ({ target, load }: Candidate): number => {
      const free = target.slots - reserved - load.online - load.batch;
      return allocator.calculateAllowance(
        { target: target.id, free, localHosts: ['h-1'], remoteHosts: [] },
        0,
      );
    };
    const criteria = { candidates, failureDomain, allowanceOf, random };
    this.chosen = chooseBatchTarget(criteria)?.id ?? 'none';
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
  '{int} items are cancelled in total, {int} of them by each host',
  function (this: RoutingWorld, total: number, each: number) {
    const { slots, online, holders } = this.occupancy;
    const batch = holders.reduce((sum, holder) => sum + holder.batch, 0);
    const shares = holders.map(({ host }) =>
      countItemsToCancel({ slots, load: { online, batch }, holders, ownName: host }),
    );
    assert.equal(
      shares.reduce((sum, share) => sum + share, 0),
      total,
    );
    assert.deepEqual(
      shares,
      holders.map(() => each),
    );
  },
);

const namesOf = (world: RoutingWorld): string[] => world.allocators.map((_, index) => `h-${index}`);

const allowanceOf = (
  world: RoutingWorld,
  allocator: BatchSlotAllocator,
  now: number,
  unusedTurns = 0,
): number =>
  allocator.calculateAllowance(
    {
      target: 't-1',
      free: world.free,
      localHosts: namesOf(world).slice(world.remoteHosts ?? 0),
      remoteHosts: namesOf(world).slice(0, world.remoteHosts ?? 0),
      unusedTurns,
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

Given(
  '{int} of the hosts are in another failure domain',
  function (this: RoutingWorld, remote: number) {
    this.remoteHosts = remote;
  },
);

Then(
  "hosts in the target's failure domain use {int} of them",
  function (this: RoutingWorld, local: number) {
    const used = this.allocators
      .slice(this.remoteHosts)
      .map((allocator) => allowanceOf(this, allocator, 0));
    assert.equal(
      used.reduce((sum, each) => sum + each, 0),
      local,
    );
  },
);

When('all hosts use their allowance at the same time', function (this: RoutingWorld) {
  this.allocated = this.allocators.reduce(
    (sum, allocator) => sum + allowanceOf(this, allocator, 0),
    0,
  );
});

Then('{int} slots are used', function (this: RoutingWorld, used: number) {
  assert.equal(this.allocated, used);
});

When('the host uses a slot at {int} ms', function (this: RoutingWorld, now: number) {
  this.allocators[0]!.recordAllocation('t-1', now, 150);
});

When('items of the host are preempted at {int} ms', function (this: RoutingWorld, now: number) {
  this.allocators[0]!.recordPreemption('t-1', now);
});

Then(
  'it may use {int} slots at {int} ms',
  function (this: RoutingWorld, slots: number, now: number) {
    assert.equal(allowanceOf(this, this.allocators[0]!, now), slots);
  },
);

Then(
  'host {string} notifies {string}',
  function (this: RoutingWorld, ownName: string, notified: string) {
    const { slots, online, holders } = this.occupancy;
    const batch = holders.reduce((sum, holder) => sum + holder.batch, 0);
    const names = findHoldersToNotify({ slots, load: { online, batch }, holders, ownName });
    assert.equal(names.join(', '), notified);
  },
);

Given(
  /^(\d+) targets of (\d+) slots with free slots ([\d, ]+), seed (\d+)$/,
  function (this: RoutingWorld, _: number, slots: number, free: string, seed: number) {
    this.random = createRandom(seed);
    this.candidates = free.split(', ').map((each, index) => ({
      target: {
        id: `t-${index + 1}`,
        bornAt: 1,
        version: 'v1',
        service: 'chat',
        address: '127.0.0.1:1',
        failureDomain: 'a',
        slots,
        state: 'ready' as const,
      },
      load: { online: slots - Number(each), batch: 0 },
      usable: true,
      responsive: true,
      unresponsiveReports: 0,
    }));
  },
);

When(
  '{int} hosts with the same load data place one chat each',
  function (this: RoutingWorld, hosts: number) {
    this.placed = new Map();
    const criteria = {
      failureDomain: 'a',
      excluded: new Set<string>(),
      isContinuation: false,
      random: this.random,
    };
    for (let host = 0; host < hosts; host += 1) {
      const chosen = chooseTarget({ candidates: this.candidates, ...criteria });
      assert.equal(chosen.kind, 'target');
      if (chosen.kind !== 'target') return;
      this.placed.set(chosen.target.id, (this.placed.get(chosen.target.id) ?? 0) + 1);
    }
  },
);

Then('at most {int} chats wait for a slot', function (this: RoutingWorld, max: number) {
  const waiting = this.candidates.map(({ target, load }) =>
    Math.max(0, load.online + (this.placed.get(target.id) ?? 0) - target.slots),
  );
  const total = waiting.reduce((sum, each) => sum + each, 0);
  assert.ok(total <= max, `${total} chats are waiting`);
});

Then(
  'each host that alone has items for the target may use a slot after at most {int} turns',
  function (this: RoutingWorld, turns: number) {
    this.allocators.forEach((allocator) => {
      assert.ok(allowanceOf(this, allocator, 0, turns) > 0);
    });
  },
);

Given(
  'a host that looks for a slot every {int} ms, with turns of {int} ms',
  function (this: RoutingWorld, stepMs: number, turnMs: number) {
    this.turns = new SlotTurns();
    this.observation = { othersBatch: 3, at: -stepMs, stepMs, turnMs };
  },
);

When('another host takes a slot', function (this: RoutingWorld) {
  this.observation.othersBatch += 1;
});

When('it looks for no slot until {int} ms', function (this: RoutingWorld, at: number) {
  this.observation.at = at - this.observation.stepMs;
});

Then(
  'at {int} ms it has seen {int} unused turns',
  function (this: RoutingWorld, until: number, expected: number) {
    const { othersBatch, stepMs, turnMs } = this.observation;
    let unused = 0;
    while (this.observation.at < until) {
      this.observation.at += stepMs;
      const use = { target: 't-1', free: 2, othersBatch };
      unused = this.turns.countUnused(use, this.observation.at, turnMs);
    }
    assert.equal(unused, expected);
  },
);
