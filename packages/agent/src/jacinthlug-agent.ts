#!/usr/bin/env node
/** Starts the agent of a target: `jacinthlug-agent --settings <file>`. */
import { parseArgs } from 'node:util';
import { openJournal } from '@jacinthlug/catalog/Journal';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import { formatMistakes } from '@jacinthlug/settings/file/parseJsonc';
import { readSettings } from '@jacinthlug/settings/file/readSettings';
import { agentSettings } from '@jacinthlug/settings/process/hostSettings';
import { createAgent } from './wiring/createAgent.js';
import { createDependencies } from './wiring/createDependencies.js';

const { values } = parseArgs({ options: { settings: { type: 'string' } } });

const main = async (): Promise<void> => {
  const settings = await readSettings(values.settings ?? 'agent.jsonc', agentSettings);
  if (settings.isErr()) {
    process.stderr.write(`${formatMistakes(settings.error)}\n`);
    process.exitCode = 1;
    return;
  }
  const { name, logLevel, statsd } = settings.value;
  const journal = openJournal(name, logLevel);
  const agent = createAgent({
    settings: settings.value,
    journal,
    metrics: openMetrics(name, statsd),
    createDependencies,
  });
  const stop = (): void => {
    // An aborted request must not keep the process alive beyond its shutdown deadline.
    // eslint-disable-next-line n/no-process-exit
    void agent.stop().then((exitCode) => process.exit(exitCode));
  };
  process.on('SIGTERM', stop);
  process.on('SIGINT', stop);
  process.on('unhandledRejection', (fault) => {
    journal.record('unhandled-fault', { err: fault });
  });
  await agent.start();
};

await main();
