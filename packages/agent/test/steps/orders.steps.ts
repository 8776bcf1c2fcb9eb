import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { eventually, type AgentFixture } from '../support/AgentFixture.js';

interface Scenario {
  fixture: AgentFixture;
  readsBefore: number;
}

Given('another process acquires the fencing number', function (this: Scenario) {
  const { table } = this.fixture;
  const [name, row] = [...table.rows][0] ?? [];
  assert.ok(name && row);
  table.rows.set(name, { ...row, attributes: { number: 2, holder: 'another' } });
  this.readsBefore = table.reads;
});

When('the tree declares the models {string}', function (this: Scenario, models: string) {
  this.fixture.adoptGrants(['harbor'], {}, models.split(', '));
});

When('the target loses its models without a crash', async function (this: Scenario) {
  const body = JSON.stringify({ number: 0, model: 'atlas-7b', action: 'unload' });
  await fetch(`${this.fixture.engine.url}/orders`, { method: 'POST', body });
});

Then('the target serves {string}', async function (this: Scenario, models: string) {
  await eventually(async () => {
    const state = await (await fetch(`${this.fixture.engine.url}/orders`)).json();
    return (state as { models: string[] }).models.join(', ') === models;
  });
});

Then('the load report lists {string}', async function (this: Scenario, models: string) {
  await eventually(async () => (await this.fixture.getLoadReport()).models.join(', ') === models);
});

Then('the agent reads the fencing number again', async function (this: Scenario) {
  await eventually(() => this.fixture.table.reads > this.readsBefore);
});

Then('the target was given {int} orders', async function (this: Scenario, count: number) {
  const logged = await this.fixture.listLoggedRequests();
  const orders = logged.filter(({ method, path }) => method === 'POST' && path === '/orders');
  assert.equal(orders.length, count);
});
