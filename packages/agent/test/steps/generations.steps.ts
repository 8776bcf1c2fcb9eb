import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { GenerationCheck } from '../../src/core/checks/GenerationCheck.js';

interface Scenario {
  nowMs: number;
  check: GenerationCheck;
}

const SHARD = 5;

Given('generation {int} of a/the shard was seen', function (this: Scenario, generation: number) {
  this.nowMs ??= 0;
  this.check ??= new GenerationCheck(() => this.nowMs);
  assert.ok(this.check.accepts(SHARD, generation));
});

When('{int} s pass', function (this: Scenario, seconds: number) {
  this.nowMs += seconds * 1000;
});

Then('generation {int} is accepted', function (this: Scenario, generation: number) {
  assert.ok(this.check.accepts(SHARD, generation));
});

Then('generation {int} is refused', function (this: Scenario, generation: number) {
  assert.ok(!this.check.accepts(SHARD, generation));
});
