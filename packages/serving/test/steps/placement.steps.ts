import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { SchedulingPass, type Placement } from '@jacinthlug/serving/batch/SchedulingPass';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import type { Candidate } from '@jacinthlug/serving/routing/chooseTarget';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { orderServices } from '@jacinthlug/serving/routing/orderServices';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

/** Parts of a host that decide where an item may run. */
interface PlacingHost {
  readonly targets: TargetList;
  readonly drainingTargets: DrainingTargets;
  readonly loadTable: LoadTable;
  readonly health: TargetHealth;
  readonly router: TargetRouter;
  readonly pass: SchedulingPass;
}

interface PlacementWorld {
  orders: string[][];
  host: PlacingHost | undefined;
  placements: (Placement | undefined)[];
}

/** Slots of each target that stay free for online requests. */
const RESERVED_SLOTS = 1;

const SLOTS = 8;

/** Online requests with which the slots and the queue of a target are full. */
const FILLING_REQUESTS = SLOTS + 2;

const allowanceOf = ({ target, load }: Candidate): number =>
  target.slots - RESERVED_SLOTS - load.online - load.batch;

const getHost = (world: PlacementWorld): PlacingHost => {
  if (world.host) return world.host;
  const targets = new TargetList(silentJournal);
  const drainingTargets = new DrainingTargets(silentJournal);
  const loadTable = new LoadTable();
  const health = new TargetHealth(silentJournal);
  const router = new TargetRouter({
    identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
    targets,
    drainingTargets,
    evacuations: { includes: () => false },
    coldTargets: noColdTargets,
    regions: new Map(),
    loadTable,
    health,
  });
  const pass = new SchedulingPass({
    router,
    allowances: { patient: allowanceOf, relaxed: allowanceOf, urgent: allowanceOf },
    random: Math.random,
  });
  const host = { targets, drainingTargets, loadTable, health, router, pass };
  Object.assign(world, { host, placements: [] });
  return host;
};

/** Registers the target of a service and returns its id. */
const addTarget = (host: PlacingHost, service: string, version = 'v1'): string => {
  const target = { ...createListedTarget(`t-${service}`), service, version, slots: SLOTS };
  host.targets.put(target);
  return target.id;
};

const fillTarget = ({ loadTable }: PlacingHost, id: string): void => {
  for (let request = 0; request < FILLING_REQUESTS; request += 1)
    loadTable.beginRequest(id, 'online');
};

const targetStates: Readonly<Record<string, (host: PlacingHost, service: string) => void>> = {
  free: addTarget,
  full: (host, service) => fillTarget(host, addTarget(host, service)),
  silent: (host, service) => host.health.recordFailure(addTarget(host, service), 'silent'),
  leaving: (host, service) => host.drainingTargets.add({ id: addTarget(host, service), bornAt: 1 }),
  absent: () => undefined,
  'free, in version v2': (host, service) => addTarget(host, service, 'v2'),
  'full, in version v2': (host, service) => fillTarget(host, addTarget(host, service, 'v2')),
};

const readServices = (text: string) =>
  text.split(' and ').map((service) => ({ service, weight: 1 }));

When(
  /^the services of a route with the weights ([\d ]+) are ordered (\d+) times, seed (\d+)$/,
  function (this: PlacementWorld, weights: string, draws: string, seed: string) {
    const random = createRandom(Number(seed));
    const services = weights
      .split(' ')
      .map((weight, index) => ({ service: String(index + 1), weight: Number(weight) }));
    this.orders = Array.from({ length: Number(draws) }, () => orderServices(services, random));
  },
);

/** Four standard deviations of a share of one half over 10,000 draws. Unit: percent. */
const MAX_DEVIATION_PERCENT = 2;

Then(
  /^they come first in ([\d ]+) percent of the draws$/,
  function (this: PlacementWorld, shares: string) {
    shares.split(' ').forEach((share, index) => {
      const count = this.orders.filter(([first]) => first === String(index + 1)).length;
      const percent = (100 * count) / this.orders.length;
      if (share === '0') assert.equal(count, 0);
      else assert.ok(Math.abs(percent - Number(share)) < MAX_DEVIATION_PERCENT, `${percent}`);
    });
  },
);

Then('each order has the services 1, 3 and 4', function (this: PlacementWorld) {
  this.orders.forEach((order) => assert.deepEqual([...order].sort(), ['1', '3', '4']));
});

Given(
  /^service "([^"]+)" with targets that are (.+)$/,
  function (this: PlacementWorld, service: string, state: string) {
    targetStates[state]!(getHost(this), service);
  },
);

Given('service {string} with a free target', function (this: PlacementWorld, service: string) {
  addTarget(getHost(this), service);
});

When(
  /^an item whose output began at "([^"]+)" in version "([^"]+)" and (is due to be moved|has waited briefly) is placed on a route to (.+)$/,
  function (this: PlacementWorld, service: string, version: string, wait: string, route: string) {
    const placement = getHost(this).pass.place({
      services: readServices(route),
      urgency: 'relaxed',
      origin: { service, version },
      avoided: new Set(),
      isRestartDue: wait === 'is due to be moved',
    });
    this.placements = [placement];
  },
);

When(
  /^an item whose output has ended at "([^"]+)" is placed, while "([^"]+)" is (free|full)$/,
  function (this: PlacementWorld, ended: string, other: string, state: string) {
    const host = getHost(this);
    [ended, other].forEach((id) =>
      host.targets.put({ ...createListedTarget(id), service: 'chat', version: 'v1', slots: SLOTS }),
    );
    if (state === 'full') fillTarget(host, other);
    this.placements = Array.from({ length: SLOTS - RESERVED_SLOTS }, () =>
      host.pass.place({
        services: readServices('chat'),
        urgency: 'relaxed',
        origin: { service: 'chat', version: 'v1' },
        avoided: new Set([`${ended}/1`]),
        isRestartDue: false,
      }),
    );
  },
);

Then('it continues at target {string}', function (this: PlacementWorld, id: string) {
  assert.deepEqual(
    new Set(this.placements.map((placement) => placement?.target.id)),
    new Set([id]),
  );
});

When(
  /^(\d+) new items are placed on a route to (.+)$/,
  function (this: PlacementWorld, count: string, route: string) {
    const { pass } = getHost(this);
    this.placements = Array.from({ length: Number(count) }, () =>
      pass.place({
        services: readServices(route),
        urgency: 'relaxed',
        origin: undefined,
        avoided: new Set(),
        isRestartDue: false,
      }),
    );
  },
);

Then(
  /^it (continues|restarts) at "([^"]+)"$/,
  function (this: PlacementWorld, how: string, service: string) {
    const [placement] = this.placements;
    assert.equal(placement?.target.service, service);
    assert.equal(placement.isRestart, how === 'restarts');
  },
);

Then('it waits', function (this: PlacementWorld) {
  assert.deepEqual(this.placements, [undefined]);
});

/** Number of requests for which a service is drawn; none of several is drawn each time by chance. */
const REQUEST_COUNT = 50;

Then(
  /^an online request of a route to (.+?)(?: that continues version "([^"]+)")? goes to "([^"]+)"$/,
  function (this: PlacementWorld, route: string, version: string | null, expected: string) {
    const { router } = getHost(this);
    const chosen = Array.from({ length: REQUEST_COUNT }, () =>
      router.chooseService(readServices(route), version ?? undefined),
    );
    assert.deepEqual([...new Set(chosen)], [expected]);
  },
);

const listServices = ({ placements }: PlacementWorld): (string | undefined)[] =>
  placements.map((placement) => placement?.target.service);

Then('all of them run at {string}', function (this: PlacementWorld, service: string) {
  assert.deepEqual([...new Set(listServices(this))], [service]);
});

Then(
  '{int} of them run, {int} at each service',
  function (this: PlacementWorld, total: number, each: number) {
    const placed = listServices(this).filter((service) => service !== undefined);
    assert.equal(placed.length, total);
    new Set(placed).forEach((service) =>
      assert.equal(placed.filter((other) => other === service).length, each),
    );
  },
);
