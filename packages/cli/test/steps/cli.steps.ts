import assert from 'node:assert/strict';
import { execFile } from 'node:child_process';
import { mkdir, mkdtemp, readdir, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  After,
  Before,
  Given,
  setDefaultTimeout,
  Then,
  When,
  type DataTable,
} from '@cucumber/cucumber';
import { COMMANDS } from '../../src/commands.js';
import { exitCodes } from '../../src/core/exitCodes.js';
import { FakeEntryHost, type FakeRequest } from './FakeEntryHost.js';

interface Scenario {
  host: FakeEntryHost;
  folder: string;
  variables: Record<string, string>;
  exitCode: number;
  output: string;
  errors: string;
}

const EDIT = 'POST /operator/v1/configuration';
const PROGRAM = fileURLToPath(new URL('../../../bin/jacinthlug.js', import.meta.url));
const EXIT_CODES_PAGE = new URL('../../../../../docs/exit-codes.md', import.meta.url);

const runCommand = async (scenario: Scenario, line: string, variables = scenario.variables) => {
  const args = [PROGRAM, ...line.split(' ')];
  const options = { cwd: scenario.folder, env: variables };
  await new Promise<void>((resolve) => {
    execFile(process.execPath, args, options, (error, output, errors) => {
      Object.assign(scenario, { exitCode: error?.code ?? 0, output, errors });
      resolve();
    });
  });
};

const findRequests = ({ host }: Scenario, call: string): FakeRequest[] =>
  host.requests.filter((request) => request.call === call);

const assertAllEqual = (values: readonly unknown[], count: number): void => {
  assert.equal(values.length, count);
  assert.equal(new Set(values).size, 1);
};

// On a busy machine, starting the program can take longer than the default timeout of 5 s.
setDefaultTimeout(60_000);

Before(async function (this: Scenario) {
  this.host = new FakeEntryHost();
  this.folder = await mkdtemp(join(tmpdir(), 'jacinthlug-'));
  this.variables = {
    JACINTHLUG_URL: await this.host.start(),
    JACINTHLUG_CREDENTIAL: 'operator',
    JACINTHLUG_KEY: 'jl_k1_s',
  };
});

After(async function (this: Scenario) {
  this.host.close();
  await rm(this.folder, { recursive: true });
});

Given('the entry host responds', function (this: Scenario, table: DataTable) {
  table.raw().forEach(([call = '', status = '', body = '']) => {
    this.host.addResponse(call, { status, body });
  });
});

Given('the declarations', async function (this: Scenario, table: DataTable) {
  const tree = join(this.folder, 'tree');
  await rm(tree, { recursive: true, force: true });
  await mkdir(tree);
  const files = table
    .raw()
    .map(([path, node = '']) => writeFile(join(tree, `${path}.jsonc`), node));
  await Promise.all(files);
});

Given('the file {string}', async function (this: Scenario, name: string, content: string) {
  await writeFile(join(this.folder, name), content);
});

When('{string} is run', async function (this: Scenario, line: string) {
  await runCommand(this, line);
});

When(
  '{string} is run without environment variables',
  async function (this: Scenario, line: string) {
    await runCommand(this, line, {});
  },
);

When('{string} is run on the folder', async function (this: Scenario, line: string) {
  await runCommand(this, `${line} tree --timeout 20`);
});

When(
  '{string} is run on the folder with the flags from the hint',
  async function (this: Scenario, line: string) {
    const flags = /--base \d+ --token [\w-]+/.exec(this.output)?.[0];
    assert.ok(flags);
    await runCommand(this, `${line} tree ${flags}`);
  },
);

Then('it exits with {int} and prints', function (this: Scenario, exitCode: number, output: string) {
  assert.equal(this.output.trim(), output, this.errors);
  assert.equal(this.exitCode, exitCode);
});

Then(
  /^it exits with (\d+) and its (output|error) has "(.*)"$/,
  function (this: Scenario, exitCode: string, stream: string, part: string) {
    const printed = stream === 'output' ? this.output : this.errors;
    // oclif wraps its own error messages to the width of the terminal.
    const unwrapped = printed.replace(/\n ›\s+/g, ' ');
    assert.ok(unwrapped.includes(part), this.output + this.errors);
    assert.equal(this.exitCode, Number(exitCode));
  },
);

Then(
  /^it exits with (\d+) and its output has ({.*})$/,
  function (this: Scenario, exitCode: string, json: string) {
    const printed = JSON.parse(this.output) as { error?: object };
    const expected = JSON.parse(json) as { error?: object };
    // System error messages differ between machines, so only the expected members are compared.
    const members = Object.keys(expected.error ?? {});
    const shown = Object.entries(printed.error ?? {}).filter(([name]) => members.includes(name));
    assert.deepEqual(expected.error ? { error: Object.fromEntries(shown) } : printed, expected);
    assert.equal(this.exitCode, Number(exitCode));
  },
);

Then('no edit was sent', function (this: Scenario) {
  assert.deepEqual(findRequests(this, EDIT), []);
});

Then('{int} identical edits were sent', function (this: Scenario, count: number) {
  assertAllEqual(
    findRequests(this, EDIT).map(({ body }) => body),
    count,
  );
});

Then(
  /^(?:the edit has|"(.*)" was sent with) ({.*})$/,
  function (this: Scenario, call: string | undefined, json: string) {
    const [request] = findRequests(this, call ?? EDIT);
    assert.ok(request);
    const sent = JSON.parse(request.body || '{}') as object;
    assert.deepEqual({ ...sent, ...(JSON.parse(json) as object) }, sent);
    assert.match(request.headers.authorization ?? '', /^Bearer (operator|jl_k1_s)$/);
  },
);

Then('the upload contains the lines of {string}', async function (this: Scenario, name: string) {
  const [upload] = findRequests(this, 'POST /v1/files');
  assert.ok(upload?.body.includes(await readFile(join(this.folder, name), 'utf8')));
});

Then(
  '{int} identical submissions with the same idempotency key were sent',
  function (this: Scenario, count: number) {
    const submissions = findRequests(this, 'POST /v1/batches');
    assertAllEqual(
      submissions.map(({ headers, body }) => `${String(headers['idempotency-key'])} ${body}`),
      count,
    );
    assert.ok(submissions[0]?.headers['idempotency-key']);
  },
);

Then('the folder contains only the files {string}', async function (this: Scenario, names: string) {
  assert.equal((await readdir(this.folder)).join(), names);
});

Then('every command has examples and JSON output', function () {
  Object.entries(COMMANDS).forEach(([name, command]) => {
    assert.ok(command.examples.length > 0, name);
    assert.ok(command.enableJsonFlag, name);
  });
});

Then('every exit code is documented', async function () {
  const page = await readFile(EXIT_CODES_PAGE, 'utf8');
  const documented = [...page.matchAll(/^\| (\d+) \|/gm)].map(([, number]) => Number(number));
  assert.deepEqual(documented, Object.values(exitCodes));
});
