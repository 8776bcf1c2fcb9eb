import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { ColdTargets } from '@jacinthlug/serving/fleet/ColdTargets';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import type { Target } from '@jacinthlug/serving/fleet/Target';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';

const START_MS = 3000;

const STEP_MS = 10;

interface ColdWorld {
  hosts: ColdTargets[];
  target: Target;
  /** Times at which hosts sent to the target. Unit: ms. */
  sentAt: number[];
  registeredMs: number;
  limit: { rate: number; startMs: number } | undefined;
  list: TargetList;
  router: TargetRouter;
  loadTable: LoadTable;
  /** Target of each request, or why there was none. */
  choices: string[];
}

const createHost = (world: ColdWorld, ownName: string, others: readonly string[]): ColdTargets =>
  new ColdTargets({
    ownName,
    listOthers: () => others,
    timeSinceRegistration: () => world.registeredMs,
    findLimit: () => world.limit,
    journal: silentJournal,
    metrics: { count: () => undefined },
  });

/** Creates hosts for which the target is cold from 0 ms on. */
const createHosts = (
  world: ColdWorld,
  count: number,
  rate: number,
  knows: (host: number, other: number) => boolean,
): void => {
  const names = Array.from({ length: count }, (_, index) => `h-${index + 1}`);
  const target = { ...createListedTarget('t-1'), coldUntil: 10_000 };
  const limit = { rate, startMs: START_MS };
  Object.assign(world, { target, limit, registeredMs: 60_000, sentAt: [] });
  const hosts = names.map((name, host) => {
    const others = names.filter((_, other) => other !== host && knows(host, other));
    const coldTargets = createHost(world, name, others);
    coldTargets.update([target], 0);
    return coldTargets;
  });
  Object.assign(world, { hosts });
};

Given(
  '{int} hosts that know the same members, and a cold target that tolerates {float} requests a second',
  function (this: ColdWorld, count: number, rate: number) {
    createHosts(this, count, rate, () => true);
  },
);

/** Returns which hosts know which others, by a description. */
const findKnowledge = (
  count: number,
  description: string,
): ((host: number, other: number) => boolean) => {
  if (description.startsWith('each half'))
    return (host, other) => host < count / 2 === other < count / 2;
  // The others have removed the rows of those that are cut off.
  if (description.startsWith('a third'))
    return (host, other) => host < count / 3 || other >= count / 3;
  const random = createRandom(Number(description.split('seed ')[1]));
  return () => random() > 1 / 3;
};

Given(
  /^(\d+) hosts of which (.+), and a cold target that tolerates (\d+) requests a second$/,
  function (this: ColdWorld, count: string, description: string, rate: string) {
    createHosts(this, Number(count), Number(rate), findKnowledge(Number(count), description));
  },
);

When(
  'each host sends as much as it may for {int} ms',
  function (this: ColdWorld, durationMs: number) {
    for (let now = 0; now < durationMs; now += STEP_MS)
      this.hosts.forEach((host) => {
        while (host.mayReceive(this.target, now)) {
          host.recordSend(this.target, now);
          this.sentAt.push(now);
        }
      });
  },
);

Then(
  'the target gets at least {int} requests in all, and at most {int} in any second',
  function (this: ColdWorld, least: number, most: number) {
    assert.ok(this.sentAt.length >= least, `${this.sentAt.length} requests`);
    const highest = Math.max(
      ...this.sentAt.map(
        (from) => this.sentAt.filter((time) => time >= from && time < from + 1000).length,
      ),
    );
    assert.ok(highest <= most, `${highest} requests in a second`);
  },
);

When('host 1 has registered {int} ms ago', function (this: ColdWorld, ageMs: number) {
  this.registeredMs = ageMs;
});

Then(/^host 1 (may|may not) send to the target$/, function (this: ColdWorld, expected: string) {
  assert.equal(this.hosts[0]!.mayReceive(this.target, 0), expected === 'may');
});

Given('a host that knows the targets since its start', function (this: ColdWorld) {
  this.limit = { rate: 17, startMs: START_MS };
  this.target = createListedTarget('t-1');
  this.hosts = [createHost(this, 'h-1', [])];
  this.hosts[0]!.update([this.target], 0);
});

Given('the service has no limit', function (this: ColdWorld) {
  this.limit = undefined;
});

const events: Readonly<Record<string, (host: ColdTargets, target: Target, now: number) => void>> = {
  'the target restarts': (host, target, now) => host.update([{ ...target, bornAt: 2 }], now),
  'the target is removed and returns': (host, target, now) => {
    host.update([], now - 500);
    host.update([target], now);
  },
  'the evacuation of its domain ends': (host, { failureDomain }, now) =>
    host.markDomain(failureDomain, now),
  'its registration says 3000 ms more': (host, target, now) =>
    host.update([{ ...target, coldUntil: now + START_MS }], now),
};

When(
  /^(the target restarts|the target is removed and returns|the evacuation of its domain ends|its registration says 3000 ms more) at (\d+) ms$/,
  function (this: ColdWorld, event: string, time: string) {
    events[event]!(this.hosts[0]!, this.target, Number(time));
  },
);

Then('the target is warm', function (this: ColdWorld) {
  assert.ok(!this.hosts[0]!.isCold(this.target, 1000));
});

Then('the target is cold until {int} ms', function (this: ColdWorld, until: number) {
  assert.ok(this.hosts[0]!.isCold(this.target, until - 1));
  assert.ok(!this.hosts[0]!.isCold(this.target, until));
});

Given(
  'a host that knows warm target {string} of 8 slots, and 3 targets that have just started',
  function (this: ColdWorld, warm: string) {
    Object.assign(this, { limit: { rate: 17, startMs: 60_000 }, registeredMs: 60_000 });
    const coldTargets = createHost(this, 'h-1', []);
    const list = new TargetList(silentJournal);
    list.onChange(() => coldTargets.update(list.list()));
    list.put(createListedTarget(warm));
    ['c-1', 'c-2', 'c-3'].forEach((id) => list.put(createListedTarget(id)));
    const loadTable = new LoadTable();
    const router = new TargetRouter({
      identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
      targets: list,
      drainingTargets: new DrainingTargets(silentJournal),
      evacuations: { includes: () => false },
      coldTargets,
      regions: new Map(),
      loadTable,
      health: new TargetHealth(silentJournal),
    });
    Object.assign(this, { list, loadTable, router });
  },
);

When('the host sends {int} requests', function (this: ColdWorld, count: number) {
  this.choices = Array.from({ length: count }, () => {
    const chosen = this.router.chooseForOnline({ service: 'chat' });
    if (chosen.kind !== 'target') return chosen.kind;
    this.loadTable.beginRequest(chosen.target.id, 'online');
    this.router.recordSend(chosen.target);
    return chosen.target.id;
  });
});

When('the host sends {int} items', function (this: ColdWorld, count: number) {
  this.choices = Array.from(
    { length: count },
    () => this.router.chooseForBatch('chat', undefined, ({ load }) => 8 - load.online)?.id ?? '',
  );
});

Then('all of them went to {string}', function (this: ColdWorld, id: string) {
  assert.ok(
    this.choices.every((choice) => choice === id),
    this.choices.join(', '),
  );
});

Then('each cold target got at most {int} of them', function (this: ColdWorld, most: number) {
  ['c-1', 'c-2', 'c-3'].forEach((id) => {
    const got = this.choices.filter((choice) => choice === id).length;
    assert.ok(got > 0 && got <= most, `${id} got ${got}`);
  });
});

Then('the last request was refused as {string}', function (this: ColdWorld, kind: string) {
  assert.equal(this.choices.at(-1), kind);
});

Then('none of them was sent', function (this: ColdWorld) {
  assert.equal(this.choices.join(''), '');
});

Then(
  'an operator is told that requests and items would go to {string}',
  function (this: ColdWorld, id: string) {
    (['online', 'batch'] as const).forEach((work) => {
      const [first] = this.router.explain({ service: 'chat', work }).targets;
      assert.deepEqual({ target: first?.target, share: first?.share }, { target: id, share: 1 });
    });
  },
);
