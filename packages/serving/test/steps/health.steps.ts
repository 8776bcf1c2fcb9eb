import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';

interface HealthWorld {
  health: TargetHealth;
  targets: string[];
  now: number;
}

const recordOutcomes = (
  { health, now }: HealthWorld,
  target: number,
  outcomes: readonly boolean[],
  ms: number,
): void =>
  outcomes.forEach((succeeds, index) => {
    const at = now - ms + ((index + 1) * ms) / outcomes.length;
    if (succeeds) health.recordSuccess(`t-${target}`, at);
    else health.recordFailure(`t-${target}`, 'reset', at);
  });

Given('{int} targets', function (this: HealthWorld, count: number) {
  this.health = new TargetHealth(silentJournal);
  this.targets = Array.from({ length: count }, (_, index) => `t-${index + 1}`);
  this.now = 100_000;
});

When(
  /^target (\d+) fails every (\d+)\w\w of (\d+) requests within (\d+) ms$/,
  function (this: HealthWorld, target: number, nth: number, requests: number, ms: number) {
    const outcomes = Array.from({ length: requests }, (_, index) => (index + 1) % nth !== 0);
    recordOutcomes(this, target, outcomes, ms);
  },
);

When(
  'target {int} fails {int} of {int} requests within {int} ms',
  function (this: HealthWorld, target: number, failed: number, requests: number, ms: number) {
    const outcomes = Array.from({ length: requests }, (_, index) => index >= failed);
    recordOutcomes(this, target, outcomes, ms);
  },
);

When('the first {int} of them do not respond', function (this: HealthWorld, unresponsive: number) {
  this.targets
    .slice(0, unresponsive)
    .forEach((target) => this.health.recordFailure(target, 'silent', this.now));
});

Then(/^the unreliable targets are ([\d, ]+)$/, function (this: HealthWorld, numbers: string) {
  const expected = numbers.split(', ').map((number) => `t-${number}`);
  assert.deepEqual([...this.health.findUnreliable(this.targets, this.now)].sort(), expected);
});

Then('{int} ms later none of them is unreliable', function (this: HealthWorld, ms: number) {
  assert.equal(this.health.findUnreliable(this.targets, this.now + ms).size, 0);
});

Then('it reports {int} targets as unresponsive', function (this: HealthWorld, reported: number) {
  assert.equal(this.health.findPaused(this.targets.length, this.now).length, reported);
});
