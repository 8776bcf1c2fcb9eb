import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { sortJobsForSearch, type QueuedJob } from '../../src/sortJobsForSearch.js';
import { seededRandom } from '../fakes/BatchBench.js';

interface Scenario {
  jobs: QueuedJob[];
}

Given(/^queued jobs: (.*)$/, function (this: Scenario, text: string) {
  this.jobs = text
    .split(', ')
    .map((phrase) => {
      const [, job = '', account = '', minutes] =
        /^(\w+) of (\w+) due in (\d+) min$/.exec(phrase) ?? [];
      return { job, account, dueAt: Number(minutes) * 60_000 };
    })
    .sort((left, right) => left.dueAt - right.dueAt);
});

Then(/^(\d+) searches start with: (.*)$/, function (this: Scenario, count: string, first: string) {
  const random = seededRandom(1);
  const found = Array.from(
    { length: Number(count) },
    () => sortJobsForSearch(this.jobs, random)[0],
  );
  assert.equal([...new Set(found)].sort().join(' or '), first);
});
