import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadTable, type WorkClass } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter, type ExplanationCriteria } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

interface ExplanationsWorld {
  router: TargetRouter;
  criteria: Partial<ExplanationCriteria>;
}

const SLOTS = 8;

Given(
  /^two targets with 8 slots, of which one (.+)$/,
  function (this: ExplanationsWorld, state: string) {
    const targets = new TargetList(silentJournal);
    const loadTable = new LoadTable();
    const health = new TargetHealth(silentJournal);
    const own = { ...createListedTarget('t-1'), slots: SLOTS };
    const version = state === 'has another version' ? 'v2' : own.version;
    targets.put({ ...own, version });
    targets.put({ ...createListedTarget('t-2'), slots: SLOTS });
    const online = Number(/\d+/.exec(state)?.[0] ?? 0);
    Array.from({ length: online }, () => loadTable.beginRequest('t-1', 'online'));
    if (state === 'has failed') health.recordFailure('t-1', 'broken');
    this.criteria = {
      ...(version !== own.version && { version: own.version }),
      ...(state === 'has slots of other hosts' && {
        allowanceOf: ({ target }) => (target.id === 't-1' ? 0 : SLOTS),
      }),
    };
    this.router = new TargetRouter({
      identity: { name: 'h-1', failureDomain: '', incarnation: 1, address: '', port: 1, cores: 1 },
      targets,
      drainingTargets: new DrainingTargets(silentJournal),
      evacuations: { includes: () => false },
      coldTargets: { ...noColdTargets, isCold: ({ id }) => state === 'is cold' && id === 't-1' },
      regions: new Map(),
      loadTable,
      health,
    });
  },
);

Then(
  /^the choice of a target for (online|batch) work leaves it out as "(.+)", and falls on the other one$/,
  function (this: ExplanationsWorld, work: WorkClass, reason: string) {
    const explained = this.router.explain({ service: 'chat', work, ...this.criteria });
    assert.deepEqual(
      explained.targets.map(({ target, share, leftOut }) => [target, share, leftOut]),
      [
        ['t-2', 1, undefined],
        ['t-1', 0, reason],
      ],
    );
    assert.equal(explained.result, 'target');
  },
);
