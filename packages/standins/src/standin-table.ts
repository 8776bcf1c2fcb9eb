#!/usr/bin/env node
import { runStandin } from './core/runStandin.js';
import { startTableStandin } from './table/startTableStandin.js';

await runStandin(startTableStandin);
