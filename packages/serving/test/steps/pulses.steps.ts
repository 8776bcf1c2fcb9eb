import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { findPulses, type LoadSample, type Pulses } from '@jacinthlug/serving/batch/findPulses';
import {
  countLastingSlots,
  judgeUrgency,
  orderForPulse,
} from '@jacinthlug/serving/batch/itemPlans';

interface PulsesWorld {
  levelAt: (at: number) => number;
  observedFrom: number;
  pulses: Pulses | undefined;
  item: { dueAt: number; tokens: number; events: number };
}

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
    this.item = { dueAt: Number(due), tokens: Number(run), events: 0 };
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
