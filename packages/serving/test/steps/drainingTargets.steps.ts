import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

interface DrainingTargetsWorld {
  drainingTargets: DrainingTargets;
  list: TargetList;
  router: TargetRouter;
  addedCount: number;
}

const createName = (index: number): string => `t-${index}`;

Given(
  'a service with targets {string} and {string}',
  function (this: DrainingTargetsWorld, first: string, second: string) {
    this.drainingTargets = new DrainingTargets(silentJournal);
    this.list = new TargetList(silentJournal);
    this.list.replace(
      [createListedTarget(first), createListedTarget(second)],
      Number.POSITIVE_INFINITY,
    );
    this.router = new TargetRouter({
      identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
      targets: this.list,
      drainingTargets: this.drainingTargets,
      evacuations: { includes: () => false },
      coldTargets: noColdTargets,
      regions: new Map(),
      loadTable: new LoadTable(),
      health: new TargetHealth(silentJournal),
    });
  },
);

When(
  'another host reports that {string} is draining',
  function (this: DrainingTargetsWorld, id: string) {
    this.drainingTargets.applyReport({ host: 'h-2', leaving: [[id, 1]] });
  },
);

When('{string} is registered as ready again', function (this: DrainingTargetsWorld, id: string) {
  this.list.remove(id, Number.POSITIVE_INFINITY);
  this.list.put(createListedTarget(id));
});

When('{string} restarts with the same id', function (this: DrainingTargetsWorld, id: string) {
  this.list.put(createListedTarget(id, 2));
});

/** Returns the targets chosen in 50 attempts for requests and items each. */
const collectChosenTargets = ({ router }: DrainingTargetsWorld): string[] => {
  const chosenIds = new Set<string>();
  for (let choice = 0; choice < 50; choice += 1) {
    const chosen = router.chooseForOnline({ service: 'chat' });
    if (chosen.kind === 'target') chosenIds.add(chosen.target.id);
    const item = router.chooseForBatch('chat', undefined, () => 1);
    if (item) chosenIds.add(item.id);
  }
  return [...chosenIds].sort();
};

Then(
  'requests and items are sent only to {string}',
  function (this: DrainingTargetsWorld, id: string) {
    assert.deepEqual(collectChosenTargets(this), [id]);
  },
);

Then(
  'requests and items are sent to {string} and {string}',
  function (this: DrainingTargetsWorld, first: string, second: string) {
    assert.deepEqual(collectChosenTargets(this), [first, second]);
  },
);

Then('requests and items are sent to no target', function (this: DrainingTargetsWorld) {
  assert.deepEqual(collectChosenTargets(this), []);
  assert.equal(this.router.chooseForOnline({ service: 'chat' }).kind, 'none');
});

When(
  /^(\d+) targets tell a host that they are draining$/,
  function (this: DrainingTargetsWorld, targets: string) {
    this.drainingTargets = new DrainingTargets(silentJournal);
    this.addedCount = Number(targets);
    for (let index = 0; index < this.addedCount; index += 1) {
      this.drainingTargets.add(createListedTarget(createName(index)), 0);
    }
  },
);

When(
  'another host reports {int} draining targets',
  function (this: DrainingTargetsWorld, count: number) {
    this.drainingTargets = new DrainingTargets(silentJournal);
    const leaving = Array.from({ length: count }, (_, index): [string, number] => [
      createName(index),
      1,
    ]);
    this.drainingTargets.applyReport({ host: 'h-2', leaving });
  },
);

Then(
  /^(\d+) reports? of at most (\d+) targets contain all of them$/,
  function (this: DrainingTargetsWorld, reports: string, limit: string) {
    const reportedIds = new Set<string>();
    for (let report = 0; report < Number(reports); report += 1) {
      const next = this.drainingTargets.selectForReport(0);
      assert.ok(next.length <= Number(limit));
      next.forEach(([id]) => reportedIds.add(id));
    }
    assert.equal(reportedIds.size, this.addedCount);
  },
);

Then('reports after 10 s contain none of them', function (this: DrainingTargetsWorld) {
  assert.equal(this.drainingTargets.selectForReport(9999).length, this.addedCount);
  assert.deepEqual(this.drainingTargets.selectForReport(10_000), []);
});

Then('the next report contains none of them', function (this: DrainingTargetsWorld) {
  assert.deepEqual(this.drainingTargets.selectForReport(0), []);
});

const checkTracked = ({ drainingTargets, addedCount }: DrainingTargetsWorld): boolean[] =>
  Array.from({ length: addedCount }, (_, index) =>
    drainingTargets.includes(createListedTarget(createName(index))),
  );

Then('all of them are still tracked', function (this: DrainingTargetsWorld) {
  assert.ok(checkTracked(this).every(Boolean));
});

Then('only the newest {int} are tracked', function (this: DrainingTargetsWorld, count: number) {
  const tracked = checkTracked(this);
  assert.equal(tracked.filter(Boolean).length, count);
  assert.ok(tracked.slice(-count).every(Boolean));
});
