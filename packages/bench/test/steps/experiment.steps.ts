import assert from 'node:assert/strict';
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Then, When, type DataTable } from '@cucumber/cucumber';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import { readExperiment } from '../../src/experiment/readExperiment.js';

const experiments = fileURLToPath(new URL('../../../experiments', import.meta.url));

interface Scenario {
  mistakes: string[];
}

const findMistakes = (text: string, file: string): string[] => {
  const read = readExperiment(text, file);
  return read.isErr() ? formatMistakes(read.error).split('\n') : [];
};

When('the experiment file is read', function (this: Scenario, text: string) {
  this.mistakes = findMistakes(text, 'short.jsonc');
});

Then('the mistakes are', function (this: Scenario, table: DataTable) {
  assert.deepEqual(this.mistakes, table.raw().flat());
});

Then('every file in experiments is read without mistakes', async function () {
  const files = await readdir(experiments);
  assert.ok(files.length > 0);
  for (const file of files) {
    assert.deepEqual(findMistakes(await readFile(join(experiments, file), 'utf8'), file), []);
  }
});
