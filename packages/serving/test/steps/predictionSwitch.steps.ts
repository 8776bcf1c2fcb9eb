import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import type { Target } from '@jacinthlug/serving/fleet/Target';
import { PredictionSwitch } from '@jacinthlug/serving/placement/PredictionSwitch';
import { placementStrategies, type Placement } from '@jacinthlug/serving/placement/strategies';
import { TargetOutlook } from '@jacinthlug/serving/placement/TargetOutlook';
import { WorkLedger } from '@jacinthlug/serving/placement/WorkLedger';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { createListedTarget } from '../fakes/createListedTarget.js';

interface SwitchWorld {
  targets: Target[];
  paces: number[];
  ledger: WorkLedger;
  outlook: TargetOutlook;
  /** Monotonic time. Unit: ms. */
  now: number;
  changes: number;
}

const EVENTS = 30;

/** Time per event at pace 1, and time between two requests at a target. Unit: ms. */
const MS_PER_EVENT = 25;
const REQUEST_INTERVAL_MS = 800;

interface Response {
  readonly factor: number;
  readonly pauseMs: number;
  readonly events: number;
}

const usual: Response = { factor: 1, pauseMs: 0, events: EVENTS };

/** Draws how a response differs from the usual one of its target. */
const disturbances: Readonly<Record<string, (random: () => number) => Response>> = {
  'equal times': () => usual,
  pauses: (random) => ({ ...usual, pauseMs: random() < 0.15 ? 500 : 0 }),
  'times that vary': (random) => ({ ...usual, factor: 0.6 + 0.8 * random() }),
  'hints that are right': (random) => ({
    ...usual,
    events: Math.round(EVENTS * 4 ** (2 * random() - 1)),
  }),
};

const prepare = (world: SwitchWorld, placement: Placement, informsAdmission: boolean): void => {
  const strategy = placementStrategies[placement];
  const ledger = new WorkLedger({ strategy, informsAdmission });
  const record = (): void => {
    Object.assign(world, { changes: world.changes + 1 });
  };
  const outlook = new TargetOutlook({
    strategy,
    loadTable: new LoadTable(),
    ledger,
    predictionSwitch: new PredictionSwitch({ ledger, journal: { record } }),
    metrics: { count: () => undefined, observe: () => undefined },
  });
  const targets = ['t-1', 't-2', 't-3'].map((id) => createListedTarget(id));
  Object.assign(world, { targets, ledger, outlook, now: 0, changes: 0 });
};

const serve = (
  { ledger, now }: SwitchWorld,
  target: Target,
  msPerEvent: number,
  { factor, pauseMs, events }: Response,
): void => {
  const size = { promptTokens: 400, maxOutputTokens: 300, hintedOutputTokens: 7 * events };
  const work = ledger.begin({ target, size, work: 'online' }, now);
  let at = now + 75;
  for (let event = 1; event <= events; event += 1) {
    work.recordEvents(event, at);
    at += msPerEvent * factor + (event === 2 ? pauseMs : 0);
  }
  work.end(true, at);
};

Given(
  /^a host with the placement "auto" and targets of paces (\S+), (\S+) and (\S+)$/,
  function (this: SwitchWorld, first: string, second: string, third: string) {
    prepare(this, 'auto', false);
    this.paces = [first, second, third].map(Number);
  },
);

Given('targets of {int} slot(s)', function (this: SwitchWorld, slots: number) {
  this.targets = this.targets.map((target) => ({ ...target, slots }));
});

When(
  /^their paces become (\S+), (\S+) and (\S+)$/,
  function (this: SwitchWorld, first: string, second: string, third: string) {
    this.paces = [first, second, third].map(Number);
  },
);

const predicts = ({ outlook, targets, now }: SwitchWorld): boolean =>
  outlook.describe(targets[0]!, undefined, now) !== undefined;

When(
  /^each of them serves (\d+) requests with (.+), seed (\d+)$/,
  function (this: SwitchWorld, count: string, disturbance: string, seed: string) {
    const random = createRandom(Number(seed));
    for (let request = 0; request < Number(count); request += 1) {
      this.targets.forEach((target, index) =>
        serve(this, target, MS_PER_EVENT * this.paces[index]!, disturbances[disturbance]!(random)),
      );
      this.now += REQUEST_INTERVAL_MS;
      predicts(this);
    }
  },
);

Then(
  /^targets are compared by (predicted times|numbers of requests)$/,
  function (this: SwitchWorld, comparison: string) {
    assert.equal(predicts(this), comparison === 'predicted times');
  },
);

Then('the log has {int} changes', function (this: SwitchWorld, count: number) {
  assert.equal(this.changes, count);
});

Given(
  /^a host with the placement "count" whose admission (refuses|lets wait) requests$/,
  function (this: SwitchWorld, admission: string) {
    prepare(this, 'count', admission === 'lets wait');
  },
);

When('{int} requests are served', function (this: SwitchWorld, count: number) {
  for (let request = 0; request < count; request += 1)
    serve(this, this.targets[0]!, MS_PER_EVENT, usual);
  this.ledger.begin({ target: this.targets[0]!, size: undefined, work: 'online' }, this.now);
});

Then(
  /^it (knows|doesn't know) the times of the service$/,
  function (this: SwitchWorld, knows: string) {
    const interval = this.ledger.times.slotIntervalMs('chat', this.now);
    assert.equal(interval !== undefined, knows === 'knows');
  },
);

When('a request fails after {int} ms', function (this: SwitchWorld, ms: number) {
  const [target] = this.targets as [Target];
  const work = this.ledger.begin({ target, size: undefined, work: 'online' }, this.now);
  work.end(false, this.now + ms);
});

Then('slots become free every {int} ms', function (this: SwitchWorld, ms: number) {
  assert.equal(Math.round(this.ledger.times.slotIntervalMs('chat', this.now)! / 25) * 25, ms);
});

When(
  'the first events of {int} requests take {int} ms',
  function (this: SwitchWorld, count: number, ms: number) {
    const [target] = this.targets as [Target];
    for (let request = 0; request < count; request += 1)
      this.ledger
        .begin({ target, size: undefined, work: 'online' }, this.now)
        .recordEvents(1, this.now + ms);
  },
);

Then(
  'the time to the first event is known as {int} to {int} ms',
  function (this: SwitchWorld, min: number, max: number) {
    const known = this.ledger.times.meanFirstMs('chat', this.now);
    assert.ok(known >= min && known <= max, `${known}`);
  },
);
