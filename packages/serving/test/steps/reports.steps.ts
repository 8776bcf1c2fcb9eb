import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { createRandom } from '@jacinthlug/batch/testing/createRandom';
import {
  decodeLoadReports,
  encodeLoadReports,
  type LoadReport,
} from '@jacinthlug/protocol/loadReport';
import {
  getLocalIntervalMs,
  getRemoteIntervalMs,
  selectRemoteReceivers,
} from '@jacinthlug/serving/fleet/reportSchedule';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { pack } from 'msgpackr';
import { createReport } from '../fakes/createReport.js';

interface SimulatedHost {
  readonly name: string;
  readonly domain: number;
}

interface ReportsWorld {
  hosts: SimulatedHost[];
  loadTable: LoadTable;
  newest: Map<string, LoadReport>;
  reports: LoadReport[];
  datagram: Buffer;
}

/** Counts the reports that each host of other domains receives from a domain in one round. */
const simulateRound = (
  hosts: readonly SimulatedHost[],
  domain: number,
  round: number,
  lost?: SimulatedHost,
): Map<string, number> => {
  const remote = hosts.filter((host) => host.domain !== domain);
  const local = hosts.filter((host) => host.domain === domain);
  const received = new Map(remote.map(({ name }) => [name, 0]));
  local.forEach((sender, rank) => {
    if (sender === lost) return;
    selectRemoteReceivers({ remote, senders: local.length, rank, round }).forEach(({ name }) =>
      received.set(name, received.get(name)! + 1),
    );
  });
  return received;
};

Given(
  '{int} hosts in {int} failure domains',
  function (this: ReportsWorld, count: number, domains: number) {
    this.hosts = Array.from({ length: count }, (_, index) => ({
      name: `h-${String(index).padStart(3, '0')}`,
      domain: index % domains,
    }));
  },
);

Then(
  'in each round every host receives the reports of each other domain once',
  function (this: ReportsWorld) {
    const domains = new Set(this.hosts.map(({ domain }) => domain));
    domains.forEach((domain) => {
      const local = this.hosts.filter((host) => host.domain === domain).length;
      const remote = this.hosts.length - local;
      const surplus = Math.ceil(remote / local) * local - remote;
      [0, 1, 7, 1234].forEach((round) => {
        const received = [...simulateRound(this.hosts, domain, round).values()];
        assert.ok(received.every((reports) => reports >= 1));
        assert.equal(received.filter((reports) => reports > 1).length, surplus);
      });
    });
  },
);

Then(
  'in {int} rounds without one sender no host is missed twice in a row',
  function (this: ReportsWorld, rounds: number) {
    const [lost] = this.hosts;
    const missed = new Map<string, number>();
    for (let round = 0; round < rounds; round += 1) {
      simulateRound(this.hosts, lost!.domain, round, lost).forEach((reports, name) => {
        missed.set(name, reports > 0 ? 0 : (missed.get(name) ?? 0) + 1);
        assert.ok(missed.get(name)! < 2, `${name} was missed twice in a row`);
      });
    }
  },
);

Then('a host sends at most {int} datagrams a second', function (this: ReportsWorld, limit: number) {
  const local = this.hosts.filter(({ domain }) => domain === 0).length - 1;
  const remote = this.hosts.length - local - 1;
  const localRate = (local * 1000) / getLocalIntervalMs({ local, remote }, false);
  const receivers = Math.ceil(remote / (local + 1));
  const remoteRate = (receivers * 1000) / getRemoteIntervalMs({ local, remote }, false);
  assert.ok(
    localRate + remoteRate <= limit,
    `${localRate} datagrams a second to local hosts, ${remoteRate} to remote hosts`,
  );
});

/** Time at which all reports of a test were written. Unit: ms. */
const REPORT_WRITTEN_AT = 1000;

Given(
  'hosts that report loads of {int} targets in {int} random steps, seed {int}',
  function (this: ReportsWorld, targets: number, steps: number, seed: number) {
    const random = createRandom(seed);
    const below = (bound: number): number => Math.floor(random() * bound);
    this.loadTable = new LoadTable();
    this.newest = new Map();
    for (let step = 0; step < steps; step += 1) {
      const host = `h-${below(9)}`;
      if (below(8) === 0) {
        this.loadTable.removeHost(host);
        this.newest.delete(host);
      } else {
        const names = Array.from({ length: targets }, (_, index) => `t-${index}`);
        const report = createReport(host, step, {
          loads: names
            .filter(() => below(3) === 0)
            .map(
              (name) => [name, below(4), below(3), below(900)] as [string, number, number, number],
            ),
          silent: names.filter(() => below(9) === 0),
          waitingItems: below(2),
        });
        this.loadTable.applyReport(report, REPORT_WRITTEN_AT);
        this.newest.set(host, report);
      }
    }
  },
);

Then('the totals match the latest reports', function (this: ReportsWorld) {
  const { loadTable } = this;
  const reports = [...this.newest.values()];
  for (let index = 0; index < 12; index += 1) {
    const target = `t-${index}`;
    const loads = reports.flatMap((report) => report.loads.filter(([id]) => id === target));
    const sum = (field: 1 | 2 | 3): number => loads.reduce((total, load) => total + load[field], 0);
    assert.deepEqual(loadTable.totalLoad(target), { online: sum(1), batch: sum(2) });
    const { online, workLeftMs, ageMs } = loadTable.reportedWork(target, REPORT_WRITTEN_AT + 50);
    assert.deepEqual({ online, workLeftMs }, { online: sum(1), workLeftMs: sum(3) });
    assert.equal(ageMs, sum(1) > 0 ? 50 : undefined);
    assert.equal(
      loadTable.countUnresponsiveReports(target),
      reports.filter(({ silent }) => silent.includes(target)).length,
    );
    assert.equal(
      loadTable.batchHolders(target, 'h-own').reduce((total, { batch }) => total + batch, 0),
      sum(2),
    );
  }
  const waiting = reports.filter(({ waitingItems }) => waitingItems > 0).map(({ host }) => host);
  assert.deepEqual([...loadTable.hostsWithWaitingItems].sort(), waiting.sort());
});

When('two reports are encoded together', function (this: ReportsWorld) {
  this.reports = [
    createReport('h-1', 7, {
      loads: [['t-1', 2, 1, 730]],
      rates: [['a', 40]],
      crashes: [[1, 't', 's', 2, [['c']]]],
      servedContent: [['c', 3]],
      servedCounts: [['s', 4]],
    }),
    createReport('h-2', 9, {
      ageMs: 120,
      silent: ['t-2'],
      waitingItems: 3,
      leaving: [['t-3', 1]],
      isStopping: true,
    }),
  ];
  this.datagram = encodeLoadReports(this.reports);
});

Then('the decoded reports are equal to the originals', function (this: ReportsWorld) {
  assert.deepEqual(decodeLoadReports(this.datagram), this.reports);
});

const FIELDS = ['h-1', 1, 1, 0, 0, 0, [['t-1', 1, 0, 0]], [], [], 0, [], false, [], [], [], []];

const withLoads = (loads: unknown): Buffer => pack([FIELDS.with(6, loads as never)]);

const datagrams: Readonly<Record<string, () => Buffer>> = {
  nothing: () => Buffer.alloc(0),
  text: () => Buffer.from('GET / HTTP/1.1'),
  'a report with a field missing': () => pack([FIELDS.slice(0, -1)]),
  'a report with a negative load': () => withLoads([['t-1', -1, 0, 0]]),
  // Batch items are listed one by one to divide them among the hosts, for which no list can be long enough.
  'a report with a load that no host can have': () => withLoads([['t-1', 0, 2 ** 40, 0]]),
  'a report with a negative work left': () => withLoads([['t-1', 1, 0, -1]]),
  'a report with a load without work left': () => withLoads([['t-1', 1, 0]]),
  'a report with a draining target without a start time': () => pack([FIELDS.with(10, [['t-1']])]),
  'a report with a crash without a service': () =>
    pack([FIELDS.with(12, [[1, 't-1', 5, []]] as never)]),
  'a report with a stream without a version': () => pack([FIELDS.with(15, [['stream']] as never)]),
  'a report with a name for a load': () => withLoads([['t-1', 'one', 0, 0]]),
};

When(/^a datagram holds (.+)$/, function (this: ReportsWorld, content: string) {
  this.datagram = datagrams[content]!();
});

Then('no report is decoded', function (this: ReportsWorld) {
  assert.notEqual(decodeLoadReports(pack([FIELDS])), undefined);
  assert.equal(decodeLoadReports(this.datagram), undefined);
});
