import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { LogEventName } from '@jacinthlug/catalog/logEvents';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { Evacuations } from '@jacinthlug/serving/fleet/Evacuations';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

interface EvacuationsWorld {
  targets: TargetList;
  evacuations: Evacuations;
  router: TargetRouter;
  events: LogEventName[];
}

const prepare = (world: EvacuationsWorld): void => {
  const events: LogEventName[] = [];
  const targets = new TargetList(silentJournal);
  const evacuations = new Evacuations({
    targets,
    journal: { record: (name) => events.push(name) },
  });
  const router = new TargetRouter({
    identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
    targets,
    drainingTargets: new DrainingTargets(silentJournal),
    evacuations,
    coldTargets: noColdTargets,
    regions: new Map(),
    loadTable: new LoadTable(),
    health: new TargetHealth(silentJournal),
  });
  Object.assign(world, { targets, evacuations, router, events });
};

/** Registers a target with a version of its own. */
const addTarget = ({ targets }: EvacuationsWorld, id: string, failureDomain: string): void =>
  targets.put({ ...createListedTarget(id), failureDomain, version: `version of ${id}` });

Given(
  'a service with target {string} in failure domain {string} and target {string} in failure domain {string}',
  function (this: EvacuationsWorld, first: string, domain: string, second: string, other: string) {
    prepare(this);
    addTarget(this, first, domain);
    addTarget(this, second, other);
  },
);

Given('a service without targets', function (this: EvacuationsWorld) {
  prepare(this);
});

When(
  'target {string} is registered in failure domain {string}',
  function (this: EvacuationsWorld, id: string, domain: string) {
    addTarget(this, id, domain);
  },
);

When(
  'the operator evacuates failure domain {string}',
  function (this: EvacuationsWorld, domain: string) {
    this.evacuations.begin(domain);
  },
);

When(
  'the operator ends the evacuation of failure domain {string}',
  function (this: EvacuationsWorld, domain: string) {
    this.evacuations.end(domain);
  },
);

When(
  'the table is read anew with evacuations of {string}',
  function (this: EvacuationsWorld, domains: string) {
    this.evacuations.replace(domains.split(', ').filter(Boolean));
  },
);

const describeChoice = (
  { router }: EvacuationsWorld,
  excluded: string[],
  version?: string,
): string => {
  const chosen = router.chooseForOnline({ service: 'chat', excluded: new Set(excluded), version });
  return chosen.kind === 'target' ? chosen.target.id : chosen.kind;
};

Then('the first attempt uses {string}', function (this: EvacuationsWorld, expected: string) {
  assert.equal(describeChoice(this, []), expected);
});

Then(
  'a further attempt after {string} uses {string}',
  function (this: EvacuationsWorld, failed: string, expected: string) {
    assert.equal(describeChoice(this, [failed]), expected);
  },
);

Then(
  'the check for another target than {string} uses {string}',
  function (this: EvacuationsWorld, failed: string, expected: string) {
    const found = this.router.hasAlternative('chat', new Set([failed]), undefined);
    assert.equal(found, expected !== 'none');
  },
);

Then(
  'a return to {string} uses {string}',
  function (this: EvacuationsWorld, left: string, expected: string) {
    const found = this.router.findReturnTarget('chat', [left], undefined);
    assert.equal(found?.target.id ?? 'none', expected);
  },
);

Then(
  'a stream of the version of {string} uses {string}',
  function (this: EvacuationsWorld, id: string, expected: string) {
    assert.equal(describeChoice(this, [], `version of ${id}`), expected);
  },
);

const checkItem = ({ router }: EvacuationsWorld, expected: string, version?: string): void => {
  const chosen = router.chooseForBatch('chat', version, () => 1);
  assert.equal(chosen?.id ?? 'none', expected);
};

Then('a batch item uses {string}', function (this: EvacuationsWorld, expected: string) {
  checkItem(this, expected);
});

Then(
  'a batch item of the version of {string} uses {string}',
  function (this: EvacuationsWorld, id: string, expected: string) {
    checkItem(this, expected, `version of ${id}`);
    assert.equal(this.router.hasVersion('chat', `version of ${id}`), expected !== 'none');
  },
);

Then('the log has events {string}', function (this: EvacuationsWorld, events: string) {
  assert.equal(this.events.join(', '), events);
});
