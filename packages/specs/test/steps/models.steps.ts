import assert from 'node:assert/strict';
import { setDefaultTimeout, Then, When, type World } from '@cucumber/cucumber';
import { explore, type Exploration } from '../../src/explore.js';
import { createShareModel, type ShareFault } from '../../src/shareModel.js';
import { createVersionModel, type VersionFault } from '../../src/versionModel.js';

// Only bounds an exploration that does not end.
setDefaultTimeout(120_000);

interface Scenario extends World {
  found: Exploration;
}

When('the model of shares is explored', function (this: Scenario) {
  this.found = explore(createShareModel());
  this.log(`${this.found.states} states`);
});

When('the model of shares is explored with the fault {string}', function (this: Scenario, fault) {
  this.found = explore(createShareModel(fault as ShareFault));
});

When('the model of versions is explored', function (this: Scenario) {
  this.found = explore(createVersionModel());
  this.log(`${this.found.states} states`);
});

When('the model of versions is explored with the fault {string}', function (this: Scenario, fault) {
  this.found = explore(createVersionModel(fault as VersionFault));
});

Then('no rule is broken', function (this: Scenario) {
  assert.deepEqual(this.found.broken, []);
});

Then('the rule {string} is broken', function (this: Scenario, rule: string) {
  assert.ok(this.found.broken.includes(rule));
});
