import assert from 'node:assert/strict';
import { Given, Then, type DataTable } from '@cucumber/cucumber';
import { orderItems, type OrderedItem } from '@jacinthlug/serving/batch/orderItems';

type NamedItem = OrderedItem & { readonly name: string };

interface OrderWorld {
  items: NamedItem[];
  msPerToken: number;
}

Given(
  'items of {int} tokens that take {int} ms a token',
  function (this: OrderWorld, tokens: number, msPerToken: number, table: DataTable) {
    this.msPerToken = msPerToken;
    this.items = table.hashes().map(({ item, due, events }, index) => ({
      name: item!,
      index,
      tokens,
      due: Number(due),
      events: Number(events),
    }));
  },
);

Then('at {int} ms the order is {string}', function (this: OrderWorld, now: number, order: string) {
  const pace = { msPerToken: this.msPerToken, eventsPerToken: 0.2 };
  const names = orderItems(this.items, pace, now).map(({ name }) => name);
  assert.equal(names.join(', '), order);
});
