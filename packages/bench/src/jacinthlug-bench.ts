#!/usr/bin/env node
/** Runs an experiment on real processes and stand-ins, and reports it. */
import { mkdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import { readExperiment } from './experiment/readExperiment.js';
import { renderReport } from './report/renderReport.js';
import { runExperiment } from './run/runExperiment.js';

const usage = `jacinthlug-bench [options] <experiment file>

  --rounds <n>   rounds, in place of those of the file
  --out <dir>    also write <name>.md and <name>.json there
  --check        only check the file
  --verbose      pass the logs of all processes on to standard error`;

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
  // The processes of a fleet are in groups of their own; a signal does not reach them by itself.
  const interruption = new AbortController();
  const interrupt = () => interruption.abort(new Error('interrupted'));
  process.once('SIGINT', interrupt);
  process.once('SIGTERM', interrupt);
  const rounds = Number(values.rounds ?? read.value.rounds);
  const report = await runExperiment(
    { ...read.value, rounds },
    {
      verbose: values.verbose,
      signal: interruption.signal,
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
} catch (fault) {
  process.stderr.write(`${(fault as Error).message}\n`);
  // Timers of an interrupted load run out within its duration; its fleet has ended.
  process.exitCode = 1;
}
