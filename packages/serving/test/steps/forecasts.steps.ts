import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { OutputEstimator } from '@jacinthlug/serving/placement/OutputEstimator';
import { placementStrategies, type Placement } from '@jacinthlug/serving/placement/strategies';
import { TargetOutlook } from '@jacinthlug/serving/placement/TargetOutlook';
import { WorkLedger } from '@jacinthlug/serving/placement/WorkLedger';
import { explainChoice, type TargetExplanation } from '@jacinthlug/serving/placement/explainChoice';
import type { Target } from '@jacinthlug/serving/fleet/Target';
import {
  chooseBatchTarget,
  chooseTarget,
  type Candidate,
  type TargetChoice,
} from '@jacinthlug/serving/routing/chooseTarget';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { createReport } from '../fakes/createReport.js';

interface ForecastsWorld {
  targets: Target[];
  strategy: Placement | undefined;
  ledger: WorkLedger;
  loadTable: LoadTable;
  estimator: OutputEstimator;
  /** Monotonic time. Unit: ms. */
  now: number;
  placed: Map<string, number>;
  pace: number;
  item: string | undefined;
  explanations: TargetExplanation[];
}

const EVENTS = 30;

const createSize = (hintedOutputTokens: number) => ({
  promptTokens: 400,
  maxOutputTokens: 300,
  hintedOutputTokens,
});

const prepare = (world: ForecastsWorld, targets: Target[]): void => {
  const strategy = placementStrategies[world.strategy ?? 'work'];
  const ledger = new WorkLedger({ strategy, informsAdmission: false });
  Object.assign(world, { targets, ledger, loadTable: new LoadTable(), now: 0, placed: new Map() });
};

/** Plays the response to one request. */
const respond = (
  world: ForecastsWorld,
  target: Target,
  { msPerEvent, events = EVENTS }: { msPerEvent: number; events?: number },
): void => {
  const size = createSize(EVENTS);
  const work = world.ledger.begin({ target, size, work: 'online' }, world.now);
  let at = world.now + 3 * msPerEvent;
  for (let event = 1; event <= events; event += 1) {
    work.recordEvents(event, at);
    at += msPerEvent;
  }
  work.end(true, at);
};

const describe = ({ ledger, loadTable, now }: ForecastsWorld, target: Target) =>
  new TargetOutlook({
    strategy: placementStrategies.work,
    loadTable,
    ledger,
    predictionSwitch: undefined,
    metrics: { count: () => undefined, observe: () => undefined },
  }).describe(target, undefined, now)!;

const listCandidates = (world: ForecastsWorld): Candidate[] =>
  world.targets.map((target) => ({
    target,
    load: world.loadTable.totalLoad(target.id),
    usable: true,
    responsive: true,
    unresponsiveReports: 0,
    ...describe(world, target),
  }));

const choose = (
  candidates: readonly Candidate[],
  random: () => number,
  { isContinuation = false, failureDomain = 'a' } = {},
): TargetChoice =>
  chooseTarget({ candidates, failureDomain, excluded: new Set(), isContinuation, random });

/** Places requests with the same knowledge, as hosts do between two reports. */
const placeAll = (world: ForecastsWorld, count: number, random: () => number): void => {
  const candidates = listCandidates(world);
  for (let request = 0; request < count; request += 1) {
    const chosen = choose(candidates, random);
    assert.equal(chosen.kind, 'target');
    if (chosen.kind !== 'target') return;
    world.placed.set(chosen.target.id, (world.placed.get(chosen.target.id) ?? 0) + 1);
  }
};

const placedOn = ({ placed }: ForecastsWorld, number: number): number =>
  placed.get(`t-${number}`) ?? 0;

const createTargets = (count: number): Target[] =>
  Array.from({ length: count }, (_, index) => createListedTarget(`t-${index + 1}`));

/** Applies the reports of a host that has sent requests to targets. */
const report = (world: ForecastsWorld, loads: [string, number, number, number][]): void =>
  world.loadTable.applyReport(createReport('h-2', 1, { loads }), world.now);

Given('the strategy {string}', function (this: ForecastsWorld, strategy: Placement) {
  this.strategy = strategy;
});

Given(
  /^targets whose events take (\d+), (\d+) and (\d+) ms$/,
  function (this: ForecastsWorld, first: string, second: string, third: string) {
    const paces = [first, second, third];
    prepare(this, createTargets(3));
    for (let round = 0; round < 5; round += 1) {
      this.targets.forEach((target, index) =>
        respond(this, target, { msPerEvent: Number(paces[index]) }),
      );
      this.now += 1000;
    }
  },
);

When(
  '{int} requests are placed on idle targets, seed {int}',
  function (this: ForecastsWorld, count: number, seed: number) {
    placeAll(this, count, createRandom(seed));
  },
);

Then('target 3 gets less than half as many as target 1', function (this: ForecastsWorld) {
  assert.ok(placedOn(this, 3) < placedOn(this, 1) / 2, JSON.stringify([...this.placed]));
});

const candidateWith = (world: ForecastsWorld, target: Target, online: number): Candidate => {
  report(world, [[target.id, online, 0, Math.round(online * 350 * describe(world, target).pace)]]);
  return listCandidates(world).find((candidate) => candidate.target === target)!;
};

/** Returns the number of online requests with which a target takes no further one. */
const findCapacity = (world: ForecastsWorld, target: Target): number => {
  let online = 0;
  while (online < 100 && choose([candidateWith(world, target, online)], () => 0).kind === 'target')
    online += 1;
  return online;
};

Then('target 1 takes a longer queue than target 3', function (this: ForecastsWorld) {
  const [fast, , slow] = this.targets as [Target, Target, Target];
  const capacities = [findCapacity(this, fast), findCapacity(this, slow)] as const;
  assert.ok(capacities[0] > capacities[1], capacities.join(', '));
});

const isConsidered = (world: ForecastsWorld, number: number): boolean =>
  world.ledger.relativePace(world.targets[number - 1]!, world.now) > 1.1;

Then(
  /^the pace of target (\d) is (considered|ignored)$/,
  function (this: ForecastsWorld, number: number, expected: string) {
    assert.equal(isConsidered(this, number), expected === 'considered');
  },
);

Then(
  /^requests with hints of 10 and 100 tokens are expected to hold a slot for (different|the same) times$/,
  function (this: ForecastsWorld, expected: string) {
    const [short, long] = [10, 100].map((tokens) =>
      this.ledger.estimateHoldMs('chat', createSize(tokens), this.now),
    );
    assert.equal(short === long, expected === 'the same');
  },
);

When('the events of target 1 take 200 ms for a second', function (this: ForecastsWorld) {
  respond(this, this.targets[0]!, { msPerEvent: 200, events: 5 });
  this.now += 1000;
  this.pace = this.ledger.relativePace(this.targets[0]!, this.now);
});

Then('2 seconds later its pace counts less than half as much', function (this: ForecastsWorld) {
  const later = this.ledger.relativePace(this.targets[0]!, this.now + 2000);
  assert.ok(later - 1 < (this.pace - 1) / 2, `${later} after ${this.pace}`);
});

When('target 3 has failed', function (this: ForecastsWorld) {
  this.ledger.forgetPace('t-3');
});

When('target 3 has restarted', function (this: ForecastsWorld) {
  this.targets[2] = createListedTarget('t-3', 2);
});

/** Draws the factor by which a hint is off. */
const hintErrors: Readonly<Record<string, (random: () => number) => number>> = {
  right: () => 1,
  'wrong by factors': (random) => 8 ** (2 * random() - 1),
};

Given(
  /^200 requests of 30 events whose hints were (.+), seed (\d+)$/,
  function (this: ForecastsWorld, quality: string, seed: string) {
    const random = createRandom(Number(seed));
    this.estimator = new OutputEstimator();
    for (let request = 0; request < 200; request += 1) {
      const events = EVENTS * 2 ** (2 * random() - 1);
      const hint = 7 * events * hintErrors[quality]!(random);
      this.estimator.record('chat', createSize(hint), events);
    }
  },
);

const compareHint = ({ estimator }: ForecastsWorld, factor: number): number => {
  const usual = estimator.estimateEvents('chat', createSize(7 * EVENTS));
  return estimator.estimateEvents('chat', createSize(7 * EVENTS * factor)) / usual;
};

Then(
  'a hint of 1000 times the usual tokens changes the estimate at most twofold',
  function (this: ForecastsWorld) {
    const mean = this.estimator.estimateEvents('chat', undefined);
    const [high, low] = [1000, 0.001].map(
      (factor) => this.estimator.estimateEvents('chat', createSize(7 * EVENTS * factor)) / mean,
    ) as [number, number];
    assert.ok(high <= 2.001 && low >= 0.499, `${high}, ${low}`);
  },
);

Then(
  'a hint of twice the usual tokens changes the estimate by {int} to {int} percent',
  function (this: ForecastsWorld, min: number, max: number) {
    const percent = 100 * (compareHint(this, 2) - 1);
    assert.ok(percent >= min && percent <= max, `${percent}`);
  },
);

Given(
  '{int} targets with {int} online requests each, and an idle one',
  function (this: ForecastsWorld, count: number, online: number) {
    prepare(this, createTargets(count + 1));
    report(
      this,
      this.targets.slice(0, count).map(({ id }) => [id, online, 0, online * 350]),
    );
  },
);

When(
  '{int} hosts whose reports are {int} ms old place one request each, seed {int}',
  function (this: ForecastsWorld, hosts: number, ageMs: number, seed: number) {
    this.now += ageMs;
    placeAll(this, hosts, createRandom(seed));
  },
);

Then('the idle target gets at most {int} of them', function (this: ForecastsWorld, max: number) {
  const placed = placedOn(this, this.targets.length);
  assert.ok(placed <= max, `${placed}`);
});

Given(
  'two full targets, of which target 1 has {int} ms of work left and target 2 has {int} ms',
  function (this: ForecastsWorld, first: number, second: number) {
    prepare(this, createTargets(2));
    report(this, [
      ['t-1', 8, 0, first],
      ['t-2', 8, 0, second],
    ]);
  },
);

When('reports of the load are {int} ms old', function (this: ForecastsWorld, ageMs: number) {
  this.now = ageMs;
});

const getWaits = (world: ForecastsWorld): [number, number] =>
  world.targets.map((target) => describe(world, target).forecast.waitMs) as [number, number];

Then('target 2 is expected to be free earlier', function (this: ForecastsWorld) {
  const [first, second] = getWaits(this);
  assert.ok(second < first / 2, `${first}, ${second}`);
});

Then('both are expected to be free at about the same time', function (this: ForecastsWorld) {
  const [first, second] = getWaits(this);
  assert.ok(Math.abs(first - second) < first / 10, `${first}, ${second}`);
});

Then('a request is refused with the time until a slot is free', function (this: ForecastsWorld) {
  const chosen = choose(listCandidates(this), () => 0);
  assert.equal(chosen.kind, 'full');
  assert.equal(chosen.kind === 'full' && chosen.expectedWaitMs, Math.min(...getWaits(this)));
});

Then('a request that continues a stream is placed', function (this: ForecastsWorld) {
  const chosen = choose(listCandidates(this), () => 0, { isContinuation: true });
  assert.equal(chosen.kind, 'target');
});

When(
  '{int} requests are placed by a host in the failure domain of target 1 only, seed {int}',
  function (this: ForecastsWorld, count: number, seed: number) {
    this.targets = this.targets.map((target, index) =>
      index === 0 ? target : { ...target, failureDomain: 'b' },
    );
    placeAll(this, count, createRandom(seed));
  },
);

Then('target 1 gets at least half of them', function (this: ForecastsWorld) {
  const total = [...this.placed.values()].reduce((sum, count) => sum + count, 0);
  assert.ok(placedOn(this, 1) >= total / 2, JSON.stringify([...this.placed]));
});

When(
  /^an item that has (time|little time left) is placed while targets 1 and 2 have 5 free slots and target 3 has 6$/,
  function (this: ForecastsWorld, time: string) {
    report(this, [
      ['t-1', 3, 0, 1000],
      ['t-2', 3, 0, 1000],
      ['t-3', 2, 0, 1000],
    ]);
    this.item = chooseBatchTarget({
      candidates: listCandidates(this),
      failureDomain: 'a',
      allowanceOf: () => 1,
      isUrgent: time !== 'time',
      random: () => 0,
    })?.id;
  },
);

Then('it is at target {int}', function (this: ForecastsWorld, number: number) {
  assert.equal(this.item, `t-${number}`);
});

When(
  'an operator asks where an online request of the service goes',
  function (this: ForecastsWorld) {
    const candidates = listCandidates(this);
    const random = createRandom(1);
    this.explanations = explainChoice(
      candidates,
      () => {
        const chosen = choose(candidates, random);
        return chosen.kind === 'target' ? chosen.target : undefined;
      },
      () => 'others-preferred',
    );
  },
);

Then(
  'nearly all of them go to target 3, and each target has its load and its predicted wait',
  function (this: ForecastsWorld) {
    const [first, ...others] = this.explanations;
    assert.ok(first?.target === 't-3' && first.share > 0.9, JSON.stringify(first));
    others.forEach(({ online, waitMs = 0 }) => {
      assert.equal(online, 8);
      assert.ok(waitMs > (first.waitMs ?? 0), `${waitMs}`);
    });
  },
);

Given(
  'two targets in two failure domains with 4 online requests each, of which the nearer one has 4 batch items',
  function (this: ForecastsWorld) {
    const [near, far] = createTargets(2) as [Target, Target];
    prepare(this, [near, { ...far, failureDomain: 'b' }]);
    report(this, [
      ['t-1', 4, 4, 1400],
      ['t-2', 4, 0, 1400],
    ]);
  },
);

When(
  '{int} requests are placed, seed {int}',
  function (this: ForecastsWorld, count: number, seed: number) {
    placeAll(this, count, createRandom(seed));
  },
);

Then('target 2 gets more of them than target 1', function (this: ForecastsWorld) {
  assert.ok(placedOn(this, 2) > placedOn(this, 1), JSON.stringify([...this.placed]));
});

Given(
  '{int} targets with {int} online requests each',
  function (this: ForecastsWorld, count: number, online: number) {
    prepare(this, createTargets(count));
    report(
      this,
      this.targets.map(({ id }) => [id, online, 0, online * 350]),
    );
  },
);

When(
  'the events of each target take {int} ms, while it has {int} online requests',
  function (this: ForecastsWorld, msPerEvent: number, online: number) {
    this.targets.forEach((target) => respond(this, target, { msPerEvent, events: 5 }));
    this.now += 5000;
    report(
      this,
      this.targets.map(({ id }) => [id, online, 0, online * 350]),
    );
    this.now += 150;
  },
);

Then('a request is placed', function (this: ForecastsWorld) {
  assert.equal(choose(listCandidates(this), () => 0).kind, 'target');
});
