#!/usr/bin/env node
import { runStandin } from './core/runStandin.js';
import { startHostsStandin } from './hosts/startHostsStandin.js';

await runStandin(startHostsStandin);
