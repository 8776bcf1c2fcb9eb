#!/usr/bin/env node
/** Starts an engine stand-in. The flags correspond to the fields of `EngineOptions`. */
import { parseArgs } from 'node:util';
import { defaultEngineOptions } from './engine/engineOptions.js';
import { startEngineStandin } from './engine/startEngineStandin.js';

const { values } = parseArgs({
  options: {
    port: { type: 'string', default: '0' },
    host: { type: 'string', default: '127.0.0.1' },
    model: { type: 'string', multiple: true, default: [...defaultEngineOptions.models] },
    seed: { type: 'string', default: String(defaultEngineOptions.seed) },
    'token-ms': { type: 'string', default: String(defaultEngineOptions.tokenMs) },
    'token-ms-per-running': {
      type: 'string',
      default: String(defaultEngineOptions.tokenMsPerRunning),
    },
    'prefill-ms-per-token': {
      type: 'string',
      default: String(defaultEngineOptions.prefillMsPerToken),
    },
    'cache-tokens': { type: 'string', default: String(defaultEngineOptions.cacheTokens) },
    'load-lag-ms': { type: 'string', default: String(defaultEngineOptions.loadLagMs) },
    'load-model-ms': { type: 'string', default: String(defaultEngineOptions.loadModelMs) },
    'restart-ms': { type: 'string', default: String(defaultEngineOptions.restartMs) },
    'checks-fencing': { type: 'boolean', default: defaultEngineOptions.checksFencing },
  },
});

const standin = await startEngineStandin({
  port: Number(values.port),
  host: values.host,
  models: values.model,
  seed: Number(values.seed),
  tokenMs: Number(values['token-ms']),
  tokenMsPerRunning: Number(values['token-ms-per-running']),
  prefillMsPerToken: Number(values['prefill-ms-per-token']),
  cacheTokens: Number(values['cache-tokens']),
  loadLagMs: Number(values['load-lag-ms']),
  loadModelMs: Number(values['load-model-ms']),
  restartMs: Number(values['restart-ms']),
  checksFencing: values['checks-fencing'],
});
process.stdout.write(`${standin.url}\n`);
process.once('SIGTERM', () => {
  void standin.close();
});
