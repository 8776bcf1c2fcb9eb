import assert from 'node:assert/strict';
import { setDefaultTimeout, Then, When, type World } from '@cucumber/cucumber';
import { createAtMostOnceModel, type AtMostOnceFault } from '../../src/atMostOnceModel.js';
import { createChunkCommitModel, type ChunkCommitFault } from '../../src/chunkCommitModel.js';
import { exploreModel, type Exploration } from '../../src/exploreModel.js';
import { createResultListingModel, type ResultListingFault } from '../../src/resultListingModel.js';
import { createShareModel, type ShareFault } from '../../src/shareModel.js';
import { createVersionModel, type VersionFault } from '../../src/versionModel.js';

// Stops an exploration that does not terminate.
setDefaultTimeout(120_000);

interface Scenario extends World {
  exploration: Exploration;
}

const models: Readonly<Record<string, (fault?: string) => Exploration>> = {
  'chunk commit': (fault = 'none') =>
    exploreModel(createChunkCommitModel(fault as ChunkCommitFault)),
  'at most once': (fault = 'none') => exploreModel(createAtMostOnceModel(fault as AtMostOnceFault)),
  shares: (fault) => exploreModel(createShareModel(fault as ShareFault)),
  listing: (fault = 'none') => exploreModel(createResultListingModel(fault as ResultListingFault)),
  versions: (fault) => exploreModel(createVersionModel(fault as VersionFault)),
};

const explore = (model: string, fault?: string): Exploration => {
  const exploreNamed = models[model];
  assert.ok(exploreNamed, `no model ${model}`);
  return exploreNamed(fault);
};

When('the model {string} is explored', function (this: Scenario, model: string) {
  this.exploration = explore(model);
  this.log(`${this.exploration.states} states`);
});

When(
  'the model {string} is explored with the fault {string}',
  function (this: Scenario, model: string, fault: string) {
    this.exploration = explore(model, fault);
  },
);

Then('there is no violation', function (this: Scenario) {
  assert.deepEqual(this.exploration.violations, []);
  // The invariant of a model whose events change nothing holds trivially.
  assert.ok(this.exploration.states > 100, `${this.exploration.states} states`);
});

Then('the violations include {string}', function (this: Scenario, violation: string) {
  assert.ok(this.exploration.violations.includes(violation), String(this.exploration.violations));
});
