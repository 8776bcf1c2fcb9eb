/**
 * Runs all Cucumber suites, or those named as arguments, and counts their scenarios.
 *
 * Scenarios listed in KNOWN-RED.txt may fail without failing the run; their failures are printed.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

/** Returns the folder of a package: the platform adapter is at the root, the others in `packages/`. */
const getPackageFolder = (name) => (name === 'platform' ? name : `packages/${name}`);

/** Suites beside those of the packages: folders of their compiled steps and of their features. */
const ADDITIONAL_SUITES = {
  entryCrowds: {
    steps: 'packages/demo/dist/test/crowds',
    features: 'packages/demo/test/crowds/features',
  },
  crowds: { steps: 'platform/dist/test/crowds', features: 'platform/test/crowds/features' },
};

const getSuiteFolders = (name) =>
  ADDITIONAL_SUITES[name] ?? {
    steps: `${getPackageFolder(name)}/dist/test`,
    features: `${getPackageFolder(name)}/test/features`,
  };

const listSuites = () =>
  [...readdirSync('packages'), 'platform', ...Object.keys(ADDITIONAL_SUITES)].filter((name) =>
    existsSync(getSuiteFolders(name).features),
  );

/** Reads the scenarios from lines such as `test: packages/x/test/features/y.feature: Scenario name`. */
const readKnownFailures = () => {
  if (!existsSync('KNOWN-RED.txt')) return new Set();
  const lines = readFileSync('KNOWN-RED.txt', 'utf8').split('\n');
  return new Set(
    lines.filter((line) => line.startsWith('test: ')).map((line) => line.slice(6).trim()),
  );
};

/**
 * Suites whose scenarios start fleets of processes or crowds of callers. They run one at a time, because they
 * would interfere with each other.
 */
const SEQUENTIAL_SUITES = new Set(['bench', 'demo', 'entryCrowds', 'crowds']);

/** Maximum number of other suites that run in parallel. */
const MAX_PARALLEL_SUITES = 4;

/** Runs a suite and prints its output when it ends. */
const runCucumber = (name, messageFile) =>
  new Promise((resolve) => {
    const { steps, features } = getSuiteFolders(name);
    const child = spawn(
      process.execPath,
      [
        'node_modules/@cucumber/cucumber/bin/cucumber.js',
        '--import',
        `${steps}/**/*.steps.js`,
        '--format',
        'progress',
        '--format',
        `message:${messageFile}`,
        `${features}/**/*.feature`,
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

/** Reads the results of the scenarios from the Cucumber messages of a run. */
const readResults = (messageFile) => {
  const picklesById = new Map();
  const pickleIdsByTestCase = new Map();
  const attemptsById = new Map();
  const results = [];
  readFileSync(messageFile, 'utf8')
    .split('\n')
    .filter(Boolean)
    .forEach((line) => {
      const message = JSON.parse(line);
      if (message.pickle) picklesById.set(message.pickle.id, message.pickle);
      if (message.testCase) pickleIdsByTestCase.set(message.testCase.id, message.testCase.pickleId);
      if (message.testCaseStarted) {
        const { id, testCaseId } = message.testCaseStarted;
        attemptsById.set(id, { pickleId: pickleIdsByTestCase.get(testCaseId), passed: true });
      }
      if (message.testStepFinished) {
        const { testCaseStartedId, testStepResult } = message.testStepFinished;
        if (testStepResult.status !== 'PASSED') attemptsById.get(testCaseStartedId).passed = false;
      }
      if (message.testCaseFinished) {
        const { pickleId, passed } = attemptsById.get(message.testCaseFinished.testCaseStartedId);
        const pickle = picklesById.get(pickleId);
        results.push({ name: `${pickle.uri}: ${pickle.name}`, passed });
      }
    });
  return results;
};

const main = async () => {
  const requestedNames = process.argv.slice(2);
  const names = requestedNames.length > 0 ? requestedNames : listSuites();
  const folder = await mkdtemp(join(tmpdir(), 'jacinthlug-test-'));
  const results = [];
  let hasIncompleteSuite = false;
  const runSuite = async (name) => {
    const messageFile = join(folder, `${name}.ndjson`);
    const exitCode = await runCucumber(name, messageFile);
    const suiteResults = existsSync(messageFile) ? readResults(messageFile) : [];
    // A suite that fails without a failed scenario did not run completely.
    if (exitCode !== 0 && suiteResults.every(({ passed }) => passed)) hasIncompleteSuite = true;
    results.push(...suiteResults);
  };
  const parallelNames = names.filter((name) => !SEQUENTIAL_SUITES.has(name));
  const runNextSuites = async () => {
    for (let name = parallelNames.shift(); name; name = parallelNames.shift()) await runSuite(name);
  };
  await Promise.all(Array.from({ length: MAX_PARALLEL_SUITES }, runNextSuites));
  for (const name of names.filter((each) => SEQUENTIAL_SUITES.has(each))) await runSuite(name);
  await rm(folder, { recursive: true });
  const knownFailures = readKnownFailures();
  const failed = results.filter(({ passed }) => !passed);
  const expectedFailures = failed.filter(({ name }) => knownFailures.has(name));
  failed.forEach(({ name }) =>
    console.log(`${knownFailures.has(name) ? 'known red' : 'FAILED'}: ${name}`),
  );
  if (hasIncompleteSuite) console.log('FAILED: a suite did not run completely');
  console.log(`${results.length - failed.length} passed, ${failed.length} failed`);
  process.exitCode =
    hasIncompleteSuite || failed.length > expectedFailures.length || results.length === 0 ? 1 : 0;
};

await main();
