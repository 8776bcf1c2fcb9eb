#!/usr/bin/env node
/** Starts a service stand-in. */
import { parseArgs } from 'node:util';
import { startServiceStandin } from './service/startServiceStandin.js';

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    host: { type: 'string', default: '127.0.0.1' },
  },
});

const standin = await startServiceStandin({ port: Number(values.port), host: values.host });
process.stdout.write(`${standin.url}\n`);
process.once('SIGTERM', () => {
  void standin.close();
});
