import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { Departures } from '@jacinthlug/serving/fleet/Departures';
import type { Target } from '@jacinthlug/serving/fleet/Target';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadBook } from '@jacinthlug/serving/routing/LoadBook';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';

interface DeparturesWorld {
  departures: Departures;
  list: TargetList;
  router: TargetRouter;
  leaving: number;
}

const targetOf = (id: string, bornAt = 1): Target => ({
  id,
  bornAt,
  service: 'chat',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 8,
  state: 'ready',
});

const nameOf = (index: number): string => `t-${index}`;

Given(
  'a service with targets {string} and {string}',
  function (this: DeparturesWorld, first: string, second: string) {
    this.departures = new Departures(silentJournal);
    this.list = new TargetList(silentJournal);
    this.list.replace([targetOf(first), targetOf(second)], Number.POSITIVE_INFINITY);
    this.router = new TargetRouter({
      identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
      targets: this.list,
      departures: this.departures,
      loads: new LoadBook(),
      health: new TargetHealth(silentJournal),
    });
  },
);

When('another host reports that {string} leaves', function (this: DeparturesWorld, id: string) {
  this.departures.hear({ host: 'h-2', leaving: [[id, 1]] });
});

When('{string} is registered as ready again', function (this: DeparturesWorld, id: string) {
  this.list.remove(id, Number.POSITIVE_INFINITY);
  this.list.put(targetOf(id));
});

When('{string} starts anew under its identity', function (this: DeparturesWorld, id: string) {
  this.list.put(targetOf(id, 2));
});

/** Targets that requests and items go to in many choices. */
const usedTargets = ({ router }: DeparturesWorld): string[] => {
  const used = new Set<string>();
  for (let choice = 0; choice < 50; choice += 1) {
    const chosen = router.choose('chat', new Set());
    if (chosen.kind === 'target') used.add(chosen.target.id);
    const item = router.chooseForBatch('chat', () => 1);
    if (item) used.add(item.id);
  }
  return [...used].sort();
};

Then('requests and items are sent to {string} alone', function (this: DeparturesWorld, id: string) {
  assert.deepEqual(usedTargets(this), [id]);
});

Then(
  'requests and items are sent to {string} and {string}',
  function (this: DeparturesWorld, first: string, second: string) {
    assert.deepEqual(usedTargets(this), [first, second]);
  },
);

Then('requests and items are sent to none', function (this: DeparturesWorld) {
  assert.deepEqual(usedTargets(this), []);
  assert.equal(this.router.choose('chat', new Set()).kind, 'none');
});

When(
  /^(\d+) targets tell a host that they leave$/,
  function (this: DeparturesWorld, targets: string) {
    this.departures = new Departures(silentJournal);
    this.leaving = Number(targets);
    for (let index = 0; index < this.leaving; index += 1) {
      this.departures.add(targetOf(nameOf(index)), 0);
    }
  },
);

When('another host reports {int} departures', function (this: DeparturesWorld, count: number) {
  this.departures = new Departures(silentJournal);
  const leaving = Array.from({ length: count }, (_, index): [string, number] => [nameOf(index), 1]);
  this.departures.hear({ host: 'h-2', leaving });
});

Then(
  /^(\d+) reports? of at most (\d+) departures name all of them$/,
  function (this: DeparturesWorld, reports: string, most: string) {
    const named = new Set<string>();
    for (let report = 0; report < Number(reports); report += 1) {
      const next = this.departures.nextReported(0);
      assert.ok(next.length <= Number(most));
      next.forEach(([id]) => named.add(id));
    }
    assert.equal(named.size, this.leaving);
  },
);

Then('reports after 10 s name none of them', function (this: DeparturesWorld) {
  assert.equal(this.departures.nextReported(9999).length, this.leaving);
  assert.deepEqual(this.departures.nextReported(10_000), []);
});

Then('the next report names none of them', function (this: DeparturesWorld) {
  assert.deepEqual(this.departures.nextReported(0), []);
});

const countKnown = ({ departures, leaving }: DeparturesWorld): boolean[] =>
  Array.from({ length: leaving }, (_, index) => departures.includes(targetOf(nameOf(index))));

Then('all of them are known', function (this: DeparturesWorld) {
  assert.ok(countKnown(this).every(Boolean));
});

Then('the newest {int} are known, and no others', function (this: DeparturesWorld, most: number) {
  const known = countKnown(this);
  assert.equal(known.filter(Boolean).length, most);
  assert.ok(known.slice(-most).every(Boolean));
});
