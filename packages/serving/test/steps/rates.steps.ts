import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import type { LoadReport } from '@jacinthlug/protocol/loadReport';
import type {
  Account,
  ServingConfiguration,
} from '@jacinthlug/serving/configuration/ServingConfiguration';
import { AccountRateLimiter } from '@jacinthlug/serving/rates/AccountRateLimiter';
import { createReport } from '../fakes/createReport.js';

/** Time step of the simulation. Unit: ms. */
const STEP_MS = 5;

/** Interval of reports: 250 ms when idle, 30 ms while the bucket of an account is low. Unit: ms. */
const REPORT_INTERVAL_MS = { idle: 250, low: 30 };

interface SimulatedHost {
  rates: AccountRateLimiter;
  incarnation: number;
  startedAt: number;
  sequence: number;
  lastReport: number;
  group: number;
}

interface RatesWorld {
  account: Account;
  hosts: SimulatedHost[];
  random: () => number;
  delay: number;
  loss: number;
  admitted: number[];
  refused: number[];
}

const createConfiguration = (account: Account): ServingConfiguration => ({
  version: 1,
  routes: [],
  services: [],
  accounts: [account],
  limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const startHost = (
  world: RatesWorld,
  group: number,
  now: number,
  isFirstStart: boolean,
): SimulatedHost => {
  const incarnation = world.random();
  const host = {
    incarnation,
    startedAt: now,
    sequence: 0,
    lastReport: now,
    group,
  } as SimulatedHost;
  const share = (): number =>
    world.hosts.filter((each) => each.group === host.group).length / world.hosts.length;
  host.rates = new AccountRateLimiter({ share, startedAt: now, isFirstStart });
  host.rates.configure(createConfiguration(world.account), now);
  return host;
};

Given(
  '{int} hosts and an account with rate {int} and burst {int}, seed {int}',
  function (this: RatesWorld, count: number, rate: number, burst: number, seed: number) {
    this.account = { name: 'a', keys: [], rate, burst, priority: 0 };
    this.random = createRandom(seed);
    this.admitted = [];
    this.refused = [];
    this.hosts = [];
    for (let index = 0; index < count; index += 1) this.hosts.push(startHost(this, 0, 0, true));
  },
);

Given(
  'reports reach other hosts after {int} ms and {int} % of them are lost',
  function (this: RatesWorld, delay: number, percent: number) {
    this.delay = delay;
    this.loss = percent / 100;
  },
);

Given('{int} hosts are partitioned from the others', function (this: RatesWorld, count: number) {
  this.hosts.slice(0, count).forEach((host) => Object.assign(host, { group: 1 }));
});

/** Sends requests to the hosts, unevenly distributed, and delivers the hosts' reports. */
const simulate = (
  world: RatesWorld,
  rateFactor: number,
  seconds: number,
  restarts: number[],
  restartedHosts = world.hosts.length,
): void => {
  const { account, random } = world;
  /** Reports by their arrival time. */
  const inFlight = new Map<number, { to: number; report: LoadReport }[]>();
  for (let now = 0; now < seconds * 1000; now += STEP_MS) {
    if (restarts.includes(now / 1000)) {
      const started = world.hosts
        .slice(0, restartedHosts)
        .map(({ group }) => startHost(world, group, now, false));
      world.hosts.splice(0, restartedHosts, ...started);
    }
    inFlight.get(now)?.forEach(({ to, report }) => world.hosts[to]?.rates.applyReport(report, now));
    inFlight.delete(now);
    const expected = (account.rate * rateFactor * STEP_MS) / 1000;
    const requests = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
    for (let index = 0; index < requests; index += 1) {
      const host = world.hosts[Math.floor(random() ** 2 * world.hosts.length)]!;
      if (host.rates.take(account, now) === 0) world.admitted.push(now);
      else world.refused.push(now);
    }
    world.hosts.forEach((host, from) => {
      const interval = host.rates.isLow(account) ? REPORT_INTERVAL_MS.low : REPORT_INTERVAL_MS.idle;
      if (now - host.lastReport < interval) return;
      Object.assign(host, { lastReport: now, sequence: host.sequence + 1 });
      const report = createReport(`host-${from}`, host.sequence, {
        incarnation: host.incarnation,
        upMs: now - host.startedAt,
        rates: host.rates.listOwnUsage(now),
      });
      world.hosts.forEach((other, to) => {
        if (to === from || other.group !== host.group || random() < world.loss) return;
        const at = now + Math.max(STEP_MS, Math.ceil(world.delay / STEP_MS) * STEP_MS);
        const arriving = inFlight.get(at) ?? [];
        arriving.push({ to, report });
        inFlight.set(at, arriving);
      });
    });
  }
};

When(
  'the account sends {float} times its rate for {int} s',
  function (this: RatesWorld, times: number, seconds: number) {
    simulate(this, times, seconds, []);
  },
);

When(
  'the account sends {int} times its rate for {int} s and all hosts are restarted after {int}, {int} and {int} s',
  function (this: RatesWorld, times: number, seconds: number, a: number, b: number, c: number) {
    simulate(this, times, seconds, [a, b, c]);
  },
);

When(
  'the account sends {float} times its rate for {int} s and one host is restarted after {int} s',
  function (this: RatesWorld, times: number, seconds: number, at: number) {
    simulate(this, times, seconds, [at], 1);
  },
);

Then(
  'no window of {int} s has more than the limit with an excess of {float} and {int} requests',
  function (this: RatesWorld, seconds: number, excess: number, slack: number) {
    const { rate, burst } = this.account;
    const limit = (rate * seconds + burst) * (1 + excess) + slack;
    let first = 0;
    let maxRequests = 0;
    this.admitted.forEach((at, index) => {
      while (this.admitted[first]! <= at - seconds * 1000) first += 1;
      maxRequests = Math.max(maxRequests, index - first + 1);
    });
    assert.ok(maxRequests > 0, 'no request was admitted');
    assert.ok(maxRequests <= limit, `${maxRequests} requests in a window; the limit is ${limit}`);
  },
);

Then(
  'none of its requests is refused after the first {int} s',
  function (this: RatesWorld, seconds: number) {
    assert.deepEqual(
      this.refused.filter((at) => at > seconds * 1000),
      [],
    );
  },
);

Then('none of its requests is refused', function (this: RatesWorld) {
  assert.equal(this.refused.length, 0);
});
