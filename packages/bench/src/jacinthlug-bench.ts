#!/usr/bin/env node
/** Runs an experiment on real processes and stand-ins, and prints a report. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import { readExperiment } from './experiment/readExperiment.js';
import { renderReport } from './report/renderReport.js';
import { runExperiment } from './run/runExperiment.js';

const usage = `jacinthlug-bench [options] <experiment file>

  --rounds <n>   number of rounds, overrides the experiment file
  --out <dir>    also write the report to <dir>/<name>.md and <dir>/<name>.json
  --check        check the experiment file and exit
  --verbose      print the logs of all processes to standard error`;

const EXIT_USAGE = 2;

const main = async (): Promise<number> => {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      rounds: { type: 'string' },
      out: { type: 'string' },
      check: { type: 'boolean', default: false },
      verbose: { type: 'boolean', default: false },
    },
  });
  const [file] = positionals;
  if (file === undefined) {
    process.stderr.write(`${usage}\n`);
    return EXIT_USAGE;
  }
  const read = readExperiment(await readFile(file, 'utf8'), file);
  if (read.isErr()) {
    process.stderr.write(`${formatMistakes(read.error)}\n`);
    return EXIT_USAGE;
  }
  if (values.check) return 0;
  // The processes of the fleet run in process groups of their own and don't receive this signal.
  const abortController = new AbortController();
  const interrupt = () => abortController.abort(new Error('interrupted'));
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  const rounds = Number(values.rounds ?? read.value.rounds);
  const report = await runExperiment(
    { ...read.value, rounds },
    {
      verbose: values.verbose,
      signal: abortController.signal,
      onRunStart: (line) => process.stderr.write(`${line}\n`),
    },
  );
  const markdown = renderReport(report);
  process.stdout.write(markdown);
  if (values.out !== undefined) {
    const base = join(values.out, report.experiment.name);
    await mkdir(values.out, { recursive: true });
    await writeFile(`${base}.md`, markdown);
    await writeFile(`${base}.json`, `${JSON.stringify(report, null, 2)}\n`);
  }
  return 0;
};

try {
  process.exitCode = await main();
} catch (error) {
  process.stderr.write(`${(error as Error).message}\n`);
  // After an interruption the fleet is stopped, but the process exits only when the timers of the
  // load have expired, at most its duration later.
  process.exitCode = 1;
}
