import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { findPulses, type LoadSample, type Pulses } from '@jacinthlug/serving/batch/findPulses';
import {
  countLastingSlots,
  judgeUrgency,
  orderForPulse,
} from '@jacinthlug/serving/batch/itemPlans';
import type { SchedulableItem } from '@jacinthlug/serving/batch/orderItems';
import { PulseHistory } from '@jacinthlug/serving/batch/PulseHistory';
import { StartPlan } from '@jacinthlug/serving/batch/StartPlan';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { createReport } from '../fakes/createReport.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

interface PulsesWorld {
  levelAt: (at: number) => number;
  observedFrom: number;
  pulses: Pulses | undefined;
  item: SchedulableItem;
  plan: StartPlan;
  loadTable: LoadTable;
  services: string[];
}

const TARGETS = ['t-1', 't-2', 't-3', 't-4'];

const SLOTS = 16;

/** Online requests at each target in a pulse and between pulses. */
const ONLINE = { pulse: 8, valley: 2 } as const;

/** Time of the decision: half a second after the fourth rise. Unit: ms. */
const DECISION_AT = 24_100;

const SAMPLE_INTERVAL_MS = 100;

/** Items of as many tokens as their run has ms. */
const PACE = { msPerEvent: 1, eventsPerToken: 1 };

const findAt = ({ levelAt, observedFrom = 0 }: PulsesWorld, now: number): Pulses | undefined => {
  const samples: LoadSample[] = [];
  for (let at = observedFrom; at <= now; at += SAMPLE_INTERVAL_MS)
    samples.push({ at, level: levelAt(at) });
  return findPulses(samples);
};

Given(
  'pulses from {float} to {float} of the slots for {int} ms, every {int} ms from {int} ms on, observed from {int} ms',
  function (
    this: PulsesWorld,
    low: number,
    high: number,
    lengthMs: number,
    intervalMs: number,
    first: number,
    observedFrom: number,
  ) {
    this.observedFrom = observedFrom;
    this.levelAt = (at) =>
      at >= first && (at - first) % intervalMs < lengthMs && at !== observedFrom ? high : low;
  },
);

Given(
  'a load of {float} of the slots that rises to {float} at {int} ms and stays there',
  function (this: PulsesWorld, low: number, high: number, rise: number) {
    this.levelAt = (at) => (at < rise ? low : high);
  },
);

Given(
  'a load that changes between {float} and {float} of the slots every {int} ms',
  function (this: PulsesWorld, low: number, high: number, intervalMs: number) {
    this.levelAt = (at) => (Math.floor(at / intervalMs) % 2 === 0 ? low : high);
  },
);

When('the pulses cease at {int} ms', function (this: PulsesWorld, endAt: number) {
  const { levelAt } = this;
  this.levelAt = (at) => levelAt(at < endAt ? at : 0);
});

Then(
  'at {int} ms a pulse in progress ends at {string} and the next one rises at {string}',
  function (this: PulsesWorld, now: number, ends: string, rises: string) {
    const pulses = findAt(this, now);
    const nextRiseAt =
      pulses?.nextRiseAt === Number.POSITIVE_INFINITY ? 'never' : pulses?.nextRiseAt;
    assert.deepEqual(
      pulses ? [String(pulses.endsAt ?? '-'), String(nextRiseAt)] : ['none', 'none'],
      [ends, rises],
    );
  },
);

Then(
  /^at (\d+) ms (a|no) pulse is found$/,
  function (this: PulsesWorld, now: string, found: string) {
    assert.equal(findAt(this, Number(now)) !== undefined, found === 'a');
  },
);

Given(
  'pulses of {int} ms after valleys of {int} ms, with {float} of the slots in use',
  function (this: PulsesWorld, pulseMs: number, valleyMs: number, level: number) {
    const nextRiseAt = pulseMs + valleyMs;
    this.pulses = { level, valleyLevel: 0.15, pulseMs, valleyMs, endsAt: pulseMs, nextRiseAt };
  },
);

/** What is known of the pulses by the moment, from those at the start of a pulse. */
const pulsesByMoment: Readonly<
  Record<string, (pulses: Pulses, delayMs: number) => Pulses | undefined>
> = {
  'a pulse begins': (pulses) => pulses,
  'a pulse ends': (pulses, delayMs) => ({ ...pulses, endsAt: delayMs }),
  'a pulse rises': (pulses, delayMs) => ({ ...pulses, endsAt: undefined, nextRiseAt: delayMs }),
  'no pulse is known': () => undefined,
};

When(
  /^an item has (\d+) ms to run, is due in (\d+) ms and (.+?)(?: in (\d+) ms)?$/,
  function (this: PulsesWorld, run: string, due: string, moment: string, delayMs?: string) {
    const name = moment === 'a pulse begins' && delayMs ? 'a pulse rises' : moment;
    this.pulses = pulsesByMoment[name]!(this.pulses!, Number(delayMs));
    this.item = { index: 0, dueAt: Number(due), tokens: Number(run), events: 0 };
  },
);

Then(
  'it is {word} if others need {int} ms before it',
  function (this: PulsesWorld, urgency: string, backlogMs: number) {
    const { item, pulses } = this;
    assert.equal(judgeUrgency({ item, pace: PACE, pulses, backlogMs }, 0), urgency);
  },
);

Then(
  '{int} slots of a target of {int} last through a pulse',
  function (this: PulsesWorld, lasting: number, slots: number) {
    assert.equal(countLastingSlots(slots, this.pulses!), lasting);
  },
);

Then(
  'a pulse that begins cuts items with these remaining runs and due times in the order {string}',
  function (this: PulsesWorld, order: string, table: DataTable) {
    const items = table.hashes().map(({ item, run, due }, index) => ({
      name: item!,
      index,
      dueAt: Number(due),
      tokens: Number(run),
      events: 0,
    }));
    const ordered = orderForPulse(items, PACE, this.pulses!, 0).map(({ name }) => name);
    assert.equal(ordered.join(', '), order);
  },
);

const readCount = (pattern: RegExp, text: string): number => Number(pattern.exec(text)?.[1] ?? 0);

const isInPulse = (at: number): boolean => at >= 3800 && (at - 3800) % 6600 < 2800;

Given(
  /^a host that has seen 3 pulses at its 4 targets of 16 slots, and is in the 4th one, with (.+)$/,
  function (this: PulsesWorld, state: string) {
    const batch = readCount(/(\d+) running items/, state);
    const evacuated = readCount(/(\d+) of its targets/, state);
    const targets = new TargetList(silentJournal);
    const loadTable = new LoadTable();
    TARGETS.forEach((id, index) =>
      targets.put({
        ...createListedTarget(id),
        slots: SLOTS,
        failureDomain: index < evacuated ? 'b' : 'a',
      }),
    );
    targets.put({ ...createListedTarget('t-idle'), service: 'idle' });
    const history = new PulseHistory({ targets, loadTable, journal: silentJournal });
    for (let at = 0; at <= DECISION_AT; at += SAMPLE_INTERVAL_MS) {
      const online = isInPulse(at) ? ONLINE.pulse : ONLINE.valley;
      const loads = TARGETS.map((id): [string, number, number, number] => [id, online, batch, 0]);
      const waitingItems = readCount(/(\d+) waiting items/, state);
      loadTable.applyReport(createReport('h-2', at, { loads, waitingItems }), at);
      history.sample(at);
    }
    const router = new TargetRouter({
      identity: { name: 'h-1', failureDomain: 'a', incarnation: 1, address: '', port: 1, cores: 1 },
      targets,
      drainingTargets: new DrainingTargets(silentJournal),
      evacuations: { includes: ({ failureDomain }) => failureDomain === 'b' },
      coldTargets: noColdTargets,
      regions: new Map(),
      loadTable,
      health: new TargetHealth(silentJournal),
    });
    this.item = { index: 0, dueAt: DECISION_AT, tokens: 0, events: 0 };
    const find = state.endsWith('eager')
      ? undefined
      : (service: string): Pulses | undefined => history.find(service);
    const waiting = [{ ...this.item, tokens: 4400 }];
    this.plan = new StartPlan({
      findPulses: find,
      router,
      loadTable,
      pace: PACE,
      waiting,
      now: DECISION_AT,
    });
    this.loadTable = loadTable;
  },
);

When(
  /^an item of (.+) runs for (\d+) ms and is due in (\d+) ms$/,
  function (this: PulsesWorld, services: string, run: string, due: string) {
    this.item = { index: 0, dueAt: DECISION_AT + Number(due), tokens: Number(run), events: 0 };
    this.services = services.split(' and ');
  },
);

Then(
  /^the host takes it for (\w+), and may use (\w+) slots of each target for patient items$/,
  function (this: PulsesWorld, urgency: string, slots: string) {
    const services = this.services.map((service) => ({ service, weight: 1 }));
    assert.equal(this.plan.judge(this.item, { services, allowedRegions: undefined }), urgency);
    TARGETS.forEach((id) => {
      const target = { ...createListedTarget(id), slots: SLOTS };
      const load = this.loadTable.totalLoad(id);
      assert.equal(this.plan.countLastingSlots({ target, load }), Number(slots));
    });
  },
);
