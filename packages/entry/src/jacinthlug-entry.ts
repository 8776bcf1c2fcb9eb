#!/usr/bin/env node
/** Starts an entry host: `jacinthlug-entry --settings <file>`. */
import 'reflect-metadata';
import { parseArgs } from 'node:util';
import type { Journal } from '@jacinthlug/catalog/Journal';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import { readSettings } from '@jacinthlug/settings/file/readSettings';
import { entrySettings } from '@jacinthlug/settings/process/hostSettings';
import { container } from 'tsyringe';
import type { EntryProcess } from './core/lifecycle/EntryProcess.js';
import { registerDependencies } from './wiring/registerDependencies.js';
import { registerOnlinePath } from './wiring/registerOnlinePath.js';
import { tokens } from './wiring/tokens.js';

const { values } = parseArgs({ options: { settings: { type: 'string' } } });

const main = async (): Promise<void> => {
  const settings = await readSettings(values.settings ?? 'entry.jsonc', entrySettings);
  if (settings.isErr()) {
    process.stderr.write(`${formatMistakes(settings.error)}\n`);
    process.exitCode = 1;
    return;
  }
  registerDependencies(container, settings.value);
  registerOnlinePath(container);
  const journal = container.resolve<Journal>(tokens.journal);
  const entry = container.resolve<EntryProcess>(tokens.process);
  const stop = (): void => {
    // An aborted request must not keep the process running after the shutdown deadline.
    // eslint-disable-next-line n/no-process-exit
    void entry.stop().then((exitCode) => process.exit(exitCode));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('unhandledRejection', (reason) => {
    journal.record('unhandled-fault', { err: reason });
  });
  await entry.start();
};

await main();
