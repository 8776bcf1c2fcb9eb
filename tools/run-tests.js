/**
 * Runs the cucumber suites of all packages and prints the true count of scenarios.
 *
 * Scenarios listed in KNOWN-RED.txt may fail without failing the run; they are printed. Arguments:
 * names of packages to run only those.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Folder of a package; the adapter stands at the root, all others under `packages/`. */
const folderOf = (name) => (name === 'platform' ? name : `packages/${name}`);

const packagesWithTests = () =>
  [...readdirSync('packages'), 'platform'].filter((name) =>
    existsSync(join(folderOf(name), 'test', 'features')),
  );

/** Names of scenarios from lines such as `test: packages/x/test/features/y.feature: Scenario name`. */
const readKnownRed = () => {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()),
  );
};

/**
 * Packages whose scenarios start fleets of processes. They run one after the other, as they would
 * disturb each other.
 */
const ALONE = new Set(['bench', 'demo']);

/** Suites that run at once besides those. */
const AT_ONCE = 4;

/** Runs the suite of a package; its output is printed whole when it ends. */
const runCucumber = (name, messageFile) =>
  new Promise((resolve) => {
    const child = spawn(
      process.execPath,
      [
        'node_modules/@cucumber/cucumber/bin/cucumber.js',
        '--import',
        `${folderOf(name)}/dist/test/**/*.steps.js`,
        '--format',
        'progress',
        '--format',
        `message:${messageFile}`,
        `${folderOf(name)}/test/features/**/*.feature`,
      ],
      { stdio: ['ignore', 'pipe', 'pipe'] },
    );
    const output = [];
    child.stdout.on('data', (chunk) => output.push(chunk));
    child.stderr.on('data', (chunk) => output.push(chunk));
    child.on('close', (exitCode) => {
      console.log(`\n${name}\n${Buffer.concat(output)}`);
      resolve(exitCode);
    });
  });

/** Reads the verdict of each scenario from the messages of one run. */
const readVerdicts = (messageFile) => {
  const pickles = new Map();
  const cases = new Map();
  const attempts = new Map();
  const verdicts = [];
  readFileSync(messageFile, 'utf8')
    .split('\n')
    .filter(Boolean)
    .forEach((line) => {
      const message = JSON.parse(line);
      if (message.pickle) pickles.set(message.pickle.id, message.pickle);
      if (message.testCase) cases.set(message.testCase.id, message.testCase.pickleId);
      if (message.testCaseStarted) {
        const { id, testCaseId } = message.testCaseStarted;
        attempts.set(id, { pickleId: cases.get(testCaseId), passed: true });
      }
      if (message.testStepFinished) {
        const { testCaseStartedId, testStepResult } = message.testStepFinished;
        if (testStepResult.status !== 'PASSED') attempts.get(testCaseStartedId).passed = false;
      }
      if (message.testCaseFinished) {
        const { pickleId, passed } = attempts.get(message.testCaseFinished.testCaseStartedId);
        const pickle = pickles.get(pickleId);
        verdicts.push({ name: `${pickle.uri}: ${pickle.name}`, passed });
      }
    });
  return verdicts;
};

const main = async () => {
  const wanted = process.argv.slice(2);
  const names = wanted.length > 0 ? wanted : packagesWithTests();
  const folder = await mkdtemp(join(tmpdir(), 'jacinthlug-test-'));
  const verdicts = [];
  let broken = false;
  const runSuite = async (name) => {
    const messageFile = join(folder, `${name}.ndjson`);
    const exitCode = await runCucumber(name, messageFile);
    const found = existsSync(messageFile) ? readVerdicts(messageFile) : [];
    // A suite that ends badly without a failed scenario did not run as a whole.
    if (exitCode !== 0 && found.every(({ passed }) => passed)) broken = true;
    verdicts.push(...found);
  };
  const together = names.filter((name) => !ALONE.has(name));
  const work = async () => {
    for (let name = together.shift(); name; name = together.shift()) await runSuite(name);
  };
  await Promise.all(Array.from({ length: AT_ONCE }, work));
  for (const name of names.filter((each) => ALONE.has(each))) await runSuite(name);
  await rm(folder, { recursive: true });
  const knownRed = readKnownRed();
  const failed = verdicts.filter(({ passed }) => !passed);
  const expected = failed.filter(({ name }) => knownRed.has(name));
  failed.forEach(({ name }) =>
    console.log(`${knownRed.has(name) ? 'known red' : 'FAILED'}: ${name}`),
  );
  if (broken) console.log('FAILED: a suite did not run as a whole');
  console.log(`${verdicts.length - failed.length} passed, ${failed.length} failed`);
  process.exitCode = broken || failed.length > expected.length || verdicts.length === 0 ? 1 : 0;
};

await main();
