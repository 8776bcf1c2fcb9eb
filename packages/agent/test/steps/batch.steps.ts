import assert from 'node:assert/strict';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { openMetrics } from '@jacinthlug/catalog/Metrics';
import { BatchBench, inputLine, seededRandom } from '@jacinthlug/batch/testing/BatchBench';
import type { SimulatedClock } from '@jacinthlug/batch/testing/SimulatedClock';
import { SimulatedTime } from '@jacinthlug/batch/testing/SimulatedTime';
import { unwrap } from '@jacinthlug/batch/testing/unwrap';
import { openJobStore } from '@jacinthlug/batch/JobStore';
import type { Job } from '@jacinthlug/batch/rows/rows';
import { After, Before, Given, Then, When } from '@cucumber/cucumber';
import { createBatchWorker } from '../../src/core/batch/createBatchWorker.js';
import type { BatchWorker } from '../../src/core/BatchWorker.js';
import { FakeTarget } from '../fakes/FakeTarget.js';

const CONCURRENCY = 4;

/** Simulated time within which a job must end. Unit: ms. */
const JOB_LIMIT_MS = 3_600_000;

interface SimulatedAgent {
  readonly target: FakeTarget;
  readonly worker: BatchWorker;
  readonly clock: SimulatedClock;
}

interface Scenario {
  bench: BatchBench;
  contents: string[];
  job: Job;
  agents: Map<string, SimulatedAgent>;
}

const agentOf = ({ agents }: Scenario, name: string): SimulatedAgent => {
  const agent = agents.get(name);
  assert.ok(agent);
  return agent;
};

const startAgent = ({ bench, agents }: Scenario, name: string, holds = false): SimulatedAgent => {
  const clock = bench.time.openClock();
  const random = seededRandom(name.charCodeAt(0) + agents.size);
  const target = new FakeTarget(CONCURRENCY);
  target.holds = holds;
  const worker = createBatchWorker({
    target,
    chunks: bench.openChunks(clock, random),
    jobs: openJobStore({ ...bench, clock }),
    clock,
    random,
    holder: { incarnation: `${name}-${agents.size}`, address: '127.0.0.1:7100' },
    journal: silentJournal,
    metrics: openMetrics(name),
  });
  const agent = { target, worker, clock };
  agents.set(name, agent);
  worker.start();
  return agent;
};

const isOpen = async ({ bench, job }: Scenario): Promise<boolean> => {
  const found = await bench.jobs.get(job.id);
  return found.isErr() || found.value.state === 'open';
};

const runToEnd = async (scenario: Scenario, occur: () => void = () => undefined): Promise<void> => {
  const { time } = scenario.bench;
  const limit = time.now + JOB_LIMIT_MS;
  while (await isOpen(scenario)) {
    assert.ok(time.now < limit, 'the job does not end');
    occur();
    await time.advance(1000);
  }
};

const wordOf = (content: string): string => content.split(' ')[0] ?? '';

const failingWords: ReadonlySet<string> = new Set([
  'impossible',
  'failing',
  'endless',
  'crash',
  'fatal',
]);

Before(function (this: Scenario) {
  this.agents = new Map();
});

After(function (this: Scenario) {
  this.agents.forEach(({ target }) => target.close());
});

Given(/^a job of (\d+) items(?: where item (.*))?$/, async function (this: Scenario, count, rest) {
  this.bench = new BatchBench();
  const special = new Map(
    [...String(rest ?? '').matchAll(/(\d+) is "(\w+)"/g)].map(([, item, word]) => [item, word]),
  );
  this.contents = Array.from(
    { length: Number(count) },
    (_, index) => `${special.get(String(index)) ?? 'answer'} ${index}`,
  );
  this.job = await this.bench.acceptJob(
    this.contents.map((content, index) => inputLine(`item-${index}`, content)),
  );
});

Given('the agent {string}', function (this: Scenario, name: string) {
  startAgent(this, name);
});

Given('the agent {string}, whose target keeps its answers back', function (this: Scenario, name) {
  startAgent(this, String(name), true);
});

Given(
  'the agent {string}, whose target keeps answers back from item {int} on',
  function (this: Scenario, name: string, item: number) {
    const { target } = startAgent(this, name);
    const push = target.seen.push.bind(target.seen);
    target.seen.push = (...contents) => {
      if (contents.includes(this.contents[item] ?? '')) target.holds = true;
      return push(...contents);
    };
  },
);

Given(
  'the agent {string}, whose target has no free slot once the chunk is claimed',
  function (this: Scenario, name: string) {
    const { target } = startAgent(this, name);
    target.acquireBatchSlot = (signal) =>
      new Promise((resolve) => {
        target.spare = false;
        signal.addEventListener('abort', () => resolve(undefined));
      });
  },
);

Given(
  'the agent {string} starts once the chunk is claimed',
  async function (this: Scenario, name: string) {
    await SimulatedTime.settle();
    startAgent(this, name);
  },
);

Given('{int} agents were lost with the first chunk', async function (this: Scenario, count) {
  for (let lost = 0; lost < Number(count); lost += 1) {
    const { chunks } = unwrap(await this.bench.jobs.report(this.job.id));
    const chunk = { job: this.job, index: 0, ...(chunks[0] ? { former: chunks[0] } : {}) };
    unwrap(await this.bench.chunks.claim(chunk, { incarnation: `lost-${lost}`, address: '' }));
    await this.bench.time.advance(61_000);
  }
});

When('the agent {string} starts', function (this: Scenario, name: string) {
  startAgent(this, name);
});

When(
  'the agent {string} starts, whose target keeps its answers back',
  function (this: Scenario, name: string) {
    startAgent(this, name, true);
  },
);

When('the agents run the job to its end', async function (this: Scenario) {
  await runToEnd(this);
});

When('{string} has items in its target', async function (this: Scenario, name: string) {
  const { target } = agentOf(this, name);
  while (target.seen.length < CONCURRENCY) await this.bench.time.advance(1000);
});

When('{string} has item {int} in its target', async function (this: Scenario, name, item) {
  const { target } = agentOf(this, String(name));
  const content = this.contents[Number(item)] ?? '';
  while (!target.seen.includes(content)) await this.bench.time.advance(1000);
});

When(/^"(\w+)" is (?:killed|paused)$/, function (this: Scenario, name: string) {
  agentOf(this, name).clock.paused = true;
});

When('{string} is woken and its target answers', async function (this: Scenario, name: string) {
  const { clock, target } = agentOf(this, name);
  // Answers reach a woken process before its timers fire.
  target.holds = false;
  await SimulatedTime.settle();
  clock.paused = false;
  await this.bench.time.advance(30_000);
});

When('the target of {string} answers', function (this: Scenario, name: string) {
  agentOf(this, name).target.holds = false;
});

When(
  'the items in the target of {string} are preempted {int} times',
  async function (this: Scenario, name: string, times: number) {
    for (let time = 0; time < times; time += 1) {
      await this.bench.time.advance(1000);
      agentOf(this, name).target.preempt();
    }
    await this.bench.time.advance(1000);
  },
);

When(
  /^the job is cancelled and "(\w+)" (gets the notice|reads the job row)$/,
  async function (this: Scenario, name: string, way: string) {
    unwrap(await this.bench.jobs.cancel(this.job.id, Infinity));
    if (way === 'gets the notice') agentOf(this, name).worker.cancelJob({ job: this.job.id });
    else await this.bench.time.advance(5000);
    await SimulatedTime.settle();
  },
);

When('{string} is stopped and its target answers', async function (this: Scenario, name: string) {
  const { worker, target } = agentOf(this, name);
  const stopped = worker.stop();
  target.holds = false;
  await stopped;
});

When('{int} seconds pass', async function (this: Scenario, seconds: number) {
  await this.bench.time.advance(seconds * 1000);
});

When('the table is down for {int} seconds', async function (this: Scenario, seconds: number) {
  this.bench.table.down = true;
  await this.bench.time.advance(seconds * 1000);
  this.bench.table.down = false;
});

When(/^the table (goes down|is up again)$/, function (this: Scenario, change: string) {
  this.bench.table.down = change === 'goes down';
});

When(
  '{int} agents run the job while faults of seed {int} occur',
  async function (this: Scenario, count: number, seed: number) {
    const random = seededRandom(seed);
    const { table } = this.bench;
    table.losesAnswer = () => random() < 0.1;
    for (let index = 0; index < count; index += 1) startAgent(this, `agent-${index}`);
    const faults: ((name: string, agent: SimulatedAgent) => void)[] = [
      (name, { clock }) => {
        Object.assign(clock, { paused: true });
        startAgent(this, name);
      },
      (_, { clock }) => Object.assign(clock, { paused: !clock.paused }),
      (_, { target }) => Object.assign(target, { holds: !target.holds }),
      (_, { target }) => target.preempt(),
      () => Object.assign(table, { down: random() < 0.3 }),
      () => Object.assign(table, { settleGivesUp: random() < 0.5 }),
    ];
    const { now } = this.bench.time;
    await runToEnd(this, () => {
      if (this.bench.time.now > now + 1_000_000) {
        this.agents.forEach(({ clock, target }) => {
          Object.assign(clock, { paused: false });
          Object.assign(target, { holds: false });
        });
        table.down = false;
        return;
      }
      const agents = [...this.agents];
      const [name, agent] = agents[Math.floor(random() * agents.length)] ?? [];
      if (name && agent) faults[Math.floor(random() * faults.length * 2)]?.(name, agent);
    });
    await this.bench.time.advance(100_000);
  },
);

Then('each item is visible once', async function (this: Scenario) {
  const input = this.contents.map((content, index) => inputLine(`item-${index}`, content));
  await this.bench.checkExactlyOnce(this.job.id, input, (content) =>
    failingWords.has(wordOf(content)),
  );
});

Then('no results are visible', async function (this: Scenario) {
  await this.bench.checkExactlyOnce(this.job.id, [], () => false);
});

Then(
  /^the target of "(\w+)" saw item (\d+) (once|\d+ times)$/,
  function (this: Scenario, name: string, item: string, times: string) {
    const content = this.contents[Number(item)];
    const count = agentOf(this, name).target.seen.filter((one) => one === content).length;
    assert.equal(count, times === 'once' ? 1 : Number.parseInt(times, 10));
  },
);

Then('the target of {string} saw {int} requests', function (this: Scenario, name, count) {
  assert.equal(agentOf(this, String(name)).target.seen.length, count);
});

Then('the target of {string} had {int} items at once', function (this: Scenario, name, count) {
  assert.equal(agentOf(this, String(name)).target.peak, count);
});

Then('the error of item {int} is {string}', async function (this: Scenario, item, code) {
  const errors = await this.bench.readResults(this.job.id, 'error');
  const line = errors.find(({ custom_id: id }) => id === `item-${item}`);
  assert.equal(line?.error?.code, code);
});

Then(
  'the target of {string} crashed {int} times, at last with item {int} alone',
  function (this: Scenario, name: string, count: number, item: number) {
    const { crashes } = agentOf(this, name).target;
    assert.equal(crashes.length, count);
    assert.deepEqual(crashes[count - 1], [this.contents[item]]);
  },
);

Then(
  'the first chunk was claimed {int} times and counts no lost holder',
  async function (this: Scenario, claims: number) {
    const { chunks } = unwrap(await this.bench.jobs.report(this.job.id));
    assert.equal(chunks[0]?.fencing, claims);
    assert.equal(chunks[0].lapses, 0);
  },
);
