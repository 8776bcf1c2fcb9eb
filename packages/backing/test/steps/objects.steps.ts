import assert from 'node:assert/strict';
import { text } from 'node:stream/consumers';
import { Given, Then, When } from '@cucumber/cucumber';
import { startObjectsStandin } from '@jacinthlug/standins/objects/startObjectsStandin';
import type { Result } from 'neverthrow';
import type { ObjectFailure } from '../../src/ObjectStore.js';
import { S3ObjectStore } from '../../src/S3ObjectStore.js';
import { useStandin, expectValue, freeAddress, type World } from './world.js';

interface Scenario extends World {
  store: S3ObjectStore;
  put: Result<void, ObjectFailure>;
}

const getOutcome = (result: Result<unknown, ObjectFailure>): string =>
  result.match(
    () => 'ok',
    ({ kind }) => kind,
  );

Given('an object store', async function (this: Scenario) {
  const standin = await startObjectsStandin(freeAddress);
  this.store = new S3ObjectStore(useStandin(this, standin), this.metrics);
  this.closers.push(() => this.store.close());
});

Given(
  /^the object "([^"]*)" is "(?!absent|unavailable)(.*)"$/,
  async function (this: Scenario, name: string, content: string) {
    expectValue(await this.store.put(name, content));
  },
);

When(
  'the object {string} is put as {string}',
  async function (this: Scenario, name: string, content: string) {
    this.put = await this.store.put(name, content);
  },
);

When('the object {string} is removed', async function (this: Scenario, name: string) {
  expectValue(await this.store.remove(name));
});

Then('the put ends with {string}', function (this: Scenario, kind: string) {
  assert.equal(getOutcome(this.put), kind);
});

Then(
  /^the object "(.*)" is "(absent|unavailable)"$/,
  async function (this: Scenario, name: string, kind: string) {
    assert.equal(getOutcome(await this.store.get(name)), kind);
  },
);

Then(
  'the bytes {int} to {int} of {string} are {string}',
  async function (this: Scenario, first: number, last: number, name: string, content: string) {
    const bytes = expectValue(await this.store.get(name, { first, last }));
    assert.equal(bytes.toString(), content);
  },
);

Then(
  'the object {string} reads {string}',
  async function (this: Scenario, name: string, content: string) {
    assert.equal(expectValue(await this.store.get(name)).toString(), content);
  },
);

Then(
  'the object {string} streams {string}',
  async function (this: Scenario, name: string, content: string) {
    assert.equal(await text(expectValue(await this.store.open(name))), content);
  },
);

Then('the stream of {string} fails', async function (this: Scenario, name: string) {
  const stream = expectValue(await this.store.open(name));
  await assert.rejects(text(stream));
});
