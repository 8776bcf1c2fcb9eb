#!/usr/bin/env node
import { runStandin } from './core/runStandin.js';
import { startObjectsStandin } from './objects/startObjectsStandin.js';

await runStandin(startObjectsStandin);
