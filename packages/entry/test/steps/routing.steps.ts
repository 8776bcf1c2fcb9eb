import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import type { Member } from '@jacinthlug/protocol/members';
import { CrashRecorder } from '../../src/core/forwarding/CrashRecorder.js';
import { AgentState } from '../../src/core/routing/AgentState.js';
import { selectAgentSubset } from '../../src/core/routing/selectAgentSubset.js';
import { chooseAgent } from '../../src/core/routing/chooseAgent.js';
import { CircuitBreaker } from '../../src/core/routing/CircuitBreaker.js';
import { fakeMembership } from '../fakes/fakeMembership.js';
import type { Scenario } from '../fakes/Scenario.js';

interface RoutingScenario extends Scenario {
  allMembers: Member[];
  states: AgentState[];
  holder: AgentState;
  recorders: Map<string, CrashRecorder>;
  scheduledTasks: { readonly delayMs: number; readonly task: () => void }[];
}

const CHOICE_COUNT = 200;

const createMember = (
  name: string,
  failureDomain: string,
  role: Member['role'] = 'agent',
): Member => ({
  name,
  role,
  address: '127.0.0.1:1',
  failureDomain,
  region: 'coast',
  state: 'live',
});

const createReport = (target: string, expectedWaitMs: number) => ({
  target,
  service: 'chat',
  state: 'serving' as const,
  running: 0,
  waiting: 0,
  batch: 0,
  concurrency: 8,
  expectedWaitMs,
  models: [],
});

const collectChoices = (agents: readonly AgentState[], promptPrefix?: string): Set<AgentState> => {
  const random = createRandom(7);
  const choices = Array.from({ length: CHOICE_COUNT }, () =>
    chooseAgent({ agents, failureDomain: 'quay', promptPrefix, random }),
  );
  return new Set(choices.flatMap((choice) => (choice ? [choice] : [])));
};

Given(
  '{int} members in {string} and {int} in {string}',
  function (this: RoutingScenario, own: number, near: string, others: number, far: string) {
    const createMembers = (count: number, domain: string) =>
      Array.from({ length: count }, (_, index) => createMember(`${domain}-${index}`, domain));
    this.allMembers = [...createMembers(own, near), ...createMembers(others, far)];
  },
);

Then(
  'a subset of {int} has {int} members of {string} and {int} of {string}',
  function (this: RoutingScenario, size: number, own: number, near, others: number, far) {
    const subset = selectAgentSubset('entry-1', 'quay', this.allMembers, size);
    const count = (domain: unknown) =>
      subset.filter(({ failureDomain }) => failureDomain === domain).length;
    assert.deepEqual([count(near), count(far)], [own, others]);
  },
);

Given('agents with these expected waits', function (this: RoutingScenario, table: DataTable) {
  this.states = (table.hashes() as { name: string; domain: string; wait: string }[]).map(
    ({ name, domain, wait }) => {
      const state = new AgentState(createMember(name, domain));
      state.applyReport(createReport(name, Number(wait)), 0);
      return state;
    },
  );
});

Then('the choice is always one of {string}', function (this: RoutingScenario, names: string) {
  const chosen = [...collectChoices(this.states)].map(({ member }) => member.name).sort();
  assert.deepEqual(chosen, names.split(', '));
});

Then(
  'requests with the prefix {string} are always sent to the same agent',
  function (this: RoutingScenario, prefix) {
    const chosen = [...collectChoices(this.states, prefix as string)];
    assert.equal(chosen.length, 1);
    this.holder = chosen[0] as AgentState;
  },
);

Then(
  'that agent is no longer chosen once its expected wait is {int} ms',
  function (this: RoutingScenario, wait) {
    this.holder.applyReport(createReport(this.holder.member.name, wait as number), 0);
    assert.ok(!collectChoices(this.states, 'pilot').has(this.holder));
  },
);

Then('a circuit breaker allows requests as follows', function (table: DataTable) {
  const circuitBreaker = new CircuitBreaker();
  const events: Readonly<Record<string, (at: number) => void>> = {
    fails: (at) => circuitBreaker.recordFailure(at),
    'begins a probe': (at) => circuitBreaker.recordSend(at),
    succeeds: () => circuitBreaker.recordSuccess(),
    none: () => undefined,
  };
  table.hashes().forEach(({ at, event = '', allows }) => {
    events[event]?.(Number(at));
    assert.equal(String(circuitBreaker.allowsRequest(Number(at))), allows, `at ${at} ms`);
  });
});

Given(
  '{int} entry hosts {string} that share a suspect list',
  function (this: RoutingScenario, _: number, names: string) {
    const members = names.split(', ').map((name) => createMember(name, 'quay', 'entry'));
    this.scheduledTasks = [];
    const membership = { ...fakeMembership(() => members), liveEntries: () => members };
    const schedule = (task: () => void, delayMs: number) =>
      this.scheduledTasks.push({ delayMs, task });
    const { suspects } = this;
    this.recorders = new Map(
      members.map(({ name }) => [
        name,
        new CrashRecorder({
          name,
          membership,
          suspects,
          journal: silentJournal,
          // The entry hosts of the scenario share one list, so nothing needs to be sent.
          notifyEntries: () => Promise.resolve(),
          schedule,
        }),
      ]),
    );
  },
);

When(
  '{string} is told that {string} crashed, in the response to {string}',
  async function (this: RoutingScenario, name: string, fingerprints: string, own: string) {
    const crash = { id: 'crash-1', target: 'engine-1', fingerprints: fingerprints.split(', ') };
    await this.recorders.get(name)?.recordFromResponse(crash, own);
  },
);

When('all delays of the entry hosts have passed', function (this: RoutingScenario) {
  const tasks = this.scheduledTasks.splice(0).sort((a, b) => a.delayMs - b.delayMs);
  assert.equal(new Set(tasks.map(({ delayMs }) => delayMs)).size, 2);
  tasks.forEach(({ task }) => task());
});

Then(
  '{string} is recorded {int} time(s) and {string} {int} time(s)',
  function (this: RoutingScenario, first: string, times: number, second: string, too: number) {
    const { crashes } = this.suspects;
    assert.deepEqual([crashes.get(first) ?? 0, crashes.get(second) ?? 0], [times, too]);
  },
);
