import assert from 'node:assert/strict';
import { mkdir, mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { dirname, join } from 'node:path';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { formatMistakes } from '../../src/file/parseJsonc.js';
import {
  declarations,
  type Declarations,
  type InheritedSettings,
} from '../../src/tree/declarations.js';
import { readDeclarationFolder } from '../../src/tree/readDeclarationFolder.js';
import { resolveSettings } from '../../src/tree/resolveSettings.js';

interface Scenario {
  tree: Declarations;
  folder?: string;
  mistakes: string[];
}

After(async function (this: Scenario) {
  if (this.folder) await rm(this.folder, { recursive: true });
});

Given('the declarations', function (this: Scenario, table: DataTable) {
  const nodes = Object.fromEntries(
    table.hashes().map(({ path = '', node = '' }) => [path, JSON.parse(node) as unknown]),
  );
  this.tree = declarations.parse({ nodes });
});

Given(
  'a folder with the file {string}',
  async function (this: Scenario, file: string, text: string) {
    this.folder = await mkdtemp(join(tmpdir(), 'jacinthlug-'));
    await mkdir(dirname(join(this.folder, file)), { recursive: true });
    await writeFile(join(this.folder, file), text);
  },
);

When('the folder is read', async function (this: Scenario) {
  assert.ok(this.folder);
  const result = await readDeclarationFolder(this.folder);
  this.mistakes = result.isErr() ? formatMistakes(result.error).split('\n') : [];
});

Then(
  'the effective {string} of {string} is {int}',
  function (this: Scenario, name: keyof InheritedSettings, path: string, value: number) {
    assert.equal(resolveSettings(this.tree, path)[name], value);
  },
);

Then('the mistakes are', function (this: Scenario, table: DataTable) {
  assert.deepEqual(this.mistakes, table.raw().flat());
});
