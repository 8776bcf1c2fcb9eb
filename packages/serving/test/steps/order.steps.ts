import assert from 'node:assert/strict';
import { Given, Then, type DataTable } from '@cucumber/cucumber';
import {
  orderItems,
  estimateRemainingMs,
  type SchedulableItem,
  type Pace,
} from '@jacinthlug/serving/batch/orderItems';

import { orderForPreemption } from '@jacinthlug/serving/batch/orderForPreemption';
import { PaceEstimator } from '@jacinthlug/serving/batch/PaceEstimator';

type NamedItem = SchedulableItem & { readonly name: string };

interface OrderWorld {
  items: NamedItem[];
  pace: Pace;
  estimator: PaceEstimator;
}

Given(
  'items of {int} tokens and {int} events that take {int} ms per event',
  function (
    this: OrderWorld,
    tokens: number,
    events: number,
    msPerEvent: number,
    table: DataTable,
  ) {
    this.pace = { msPerEvent, eventsPerToken: events / tokens };
    this.items = table.hashes().map((row, index) => ({
      name: row.item!,
      index,
      tokens,
      dueAt: Number(row.due),
      events: Number(row.events),
    }));
  },
);

Then('at {int} ms the order is {string}', function (this: OrderWorld, now: number, order: string) {
  const names = orderItems(this.items, this.pace, now).map(({ name }) => name);
  assert.equal(names.join(', '), order);
});

Then(
  'at {int} ms they are preempted in the order {string}',
  function (this: OrderWorld, now: number, order: string) {
    const names = orderForPreemption(this.items, this.pace, now).map(({ name }) => name);
    assert.equal(names.join(', '), order);
  },
);

Given(
  'an estimator that has recorded {int} runs of {int} events, each preempted after {int} ms',
  function (this: OrderWorld, runs: number, events: number, durationMs: number) {
    this.estimator = new PaceEstimator();
    for (let run = 0; run < runs; run += 1) this.estimator.recordRun(events, durationMs);
  },
);

Given(
  '{int} items of {int} tokens that were completed with {int} events',
  function (this: OrderWorld, items: number, tokens: number, events: number) {
    for (let item = 0; item < items; item += 1) this.estimator.recordCompletedItem(tokens, events);
  },
);

Then(
  'an item of {int} tokens with {int} events has {float} s of run time left, within 10 %',
  function (this: OrderWorld, tokens: number, events: number, seconds: number) {
    const remainingMs = estimateRemainingMs({ tokens, events }, this.estimator.pace);
    assert.ok(Math.abs(remainingMs - seconds * 1000) <= seconds * 100, `${remainingMs} ms`);
  },
);
