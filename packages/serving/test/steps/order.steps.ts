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
  'items of {int} tokens and {int} events that take {int} ms an event',
  function (this: OrderWorld, tokens: number, events: number, ms: number, table: DataTable) {
    this.pace = { msPerEvent: ms, eventsPerToken: events / tokens };
    this.items = table.hashes().map((row, index) => ({
      name: row.item!,
      index,
      tokens,
      due: Number(row.due),
      events: Number(row.events),
    }));
  },
);

Then('at {int} ms the order is {string}', function (this: OrderWorld, now: number, order: string) {
  const names = orderItems(this.items, this.pace, now).map(({ name }) => name);
  assert.equal(names.join(', '), order);
});

Then(
  'at {int} ms they leave in the order {string}',
  function (this: OrderWorld, now: number, order: string) {
    const names = orderForPreemption(this.items, this.pace, now).map(({ name }) => name);
    assert.equal(names.join(', '), order);
  },
);

Given(
  'a meter that has seen {int} runs of {int} events, each cut after {int} ms',
  function (this: OrderWorld, runs: number, events: number, tookMs: number) {
    this.estimator = new PaceEstimator();
    for (let run = 0; run < runs; run += 1) this.estimator.recordRun(events, tookMs);
  },
);

Given(
  '{int} items of {int} tokens that were completed with {int} events',
  function (this: OrderWorld, items: number, tokens: number, events: number) {
    for (let item = 0; item < items; item += 1) this.estimator.recordCompletedItem(tokens, events);
  },
);

Then(
  'an item of {int} tokens with {int} events takes {float} s more, within a tenth',
  function (this: OrderWorld, tokens: number, events: number, seconds: number) {
    const leftMs = estimateRemainingMs({ tokens, events }, this.estimator.pace);
    assert.ok(Math.abs(leftMs - seconds * 1000) <= seconds * 100, `${leftMs} ms`);
  },
);
