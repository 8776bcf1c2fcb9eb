import assert from 'node:assert/strict';
import { readFile } from 'node:fs/promises';
import { Then, When } from '@cucumber/cucumber';
import { logEvents } from '../../src/logEvents.js';
import { renderRefusal, type RefusalResponse } from '../../src/refusalBody.js';
import { renderCatalogues } from '../../src/renderCatalogues.js';
import { refuse, resultCodes, type ResultName } from '../../src/resultCodes.js';

interface Scenario {
  refusal: RefusalResponse;
}

const assertUniqueNumbers = (entries: readonly { readonly number: number }[]): void => {
  assert.equal(new Set(entries.map(({ number }) => number)).size, entries.length);
};

Then('{string} matches the rendered catalogue', async function (file: string) {
  const text = await readFile(file, 'utf8');
  assert.equal(text, renderCatalogues()[file.replace('docs/', '')]);
});

Then('the numbers of the result codes are unique', function () {
  assertUniqueNumbers(Object.values(resultCodes));
});

Then('the numbers of the log events are unique', function () {
  assertUniqueNumbers(Object.values(logEvents));
});

When(
  'a refusal {string} with a retry time of {int} seconds is rendered',
  function (this: Scenario, code: ResultName, retryAfterSeconds: number) {
    this.refusal = renderRefusal(refuse(code, { retryAfterSeconds }));
  },
);

Then('its header {string} is {string}', function (this: Scenario, name: string, value: string) {
  assert.equal(this.refusal.headers[name], value);
});

Then('its run state is {string}', function (this: Scenario, run: string) {
  assert.equal(this.refusal.body.error.run, run);
});
