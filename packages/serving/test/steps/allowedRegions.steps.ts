import assert from 'node:assert/strict';
import { Given, Then, type DataTable } from '@cucumber/cucumber';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { SchedulingPass } from '@jacinthlug/serving/batch/SchedulingPass';
import type { ServingConfiguration } from '@jacinthlug/serving/configuration/ServingConfiguration';
import { DrainingTargets } from '@jacinthlug/serving/fleet/DrainingTargets';
import { Members, MEMBERS_TABLE } from '@jacinthlug/serving/fleet/Members';
import { TargetList } from '@jacinthlug/serving/fleet/TargetList';
import {
  findAllowedRegions,
  findUnknownRegions,
  isAllowed,
  type AllowedRegions,
  type RegionsByDomain,
} from '@jacinthlug/serving/routing/allowedRegions';
import { LoadTable } from '@jacinthlug/serving/routing/LoadTable';
import { TargetHealth } from '@jacinthlug/serving/routing/TargetHealth';
import { TargetRouter } from '@jacinthlug/serving/routing/TargetRouter';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';
import { noColdTargets } from '../fakes/noColdTargets.js';

/** Number of choices after which each possible target has been chosen. */
const CHOICES = 60;

interface RegionsWorld {
  regions: RegionsByDomain;
  domains: string[];
  router: TargetRouter;
  allowed: AllowedRegions | undefined;
  own: string;
  members: Members;
}

const readList = (text: string): string[] => text.split(',').map((part) => part.trim());

const readRegions = (text: string): { allowedRegions?: string[] } =>
  text === '' ? {} : { allowedRegions: readList(text) };

Given(
  'failure domains {string} and {string} in region {string} and {string} in region {string}',
  function (
    this: RegionsWorld,
    first: string,
    second: string,
    region: string,
    third: string,
    other: string,
  ) {
    this.regions = new Map([
      [first, region],
      [second, region],
      [third, other],
    ]);
  },
);

Given(
  'targets of one service in failure domains {string}',
  function (this: RegionsWorld, domains: string) {
    this.domains = readList(domains);
    const targets = new TargetList(silentJournal);
    this.domains.forEach((failureDomain) =>
      targets.put({ ...createListedTarget(failureDomain), failureDomain }),
    );
    this.router = new TargetRouter({
      // In the failure domain of no target, so that none is preferred.
      identity: { name: 'h-1', failureDomain: '', incarnation: 1, address: '', port: 1, cores: 1 },
      targets,
      drainingTargets: new DrainingTargets(silentJournal),
      evacuations: { includes: () => false },
      coldTargets: noColdTargets,
      regions: this.regions,
      loadTable: new LoadTable(),
      health: new TargetHealth(silentJournal),
    });
  },
);

Given(
  'a route that allows {string} and an account that allows {string}',
  function (this: RegionsWorld, route: string, account: string) {
    this.allowed = findAllowedRegions(readRegions(route), readRegions(account));
  },
);

const repeat = (choose: () => string | undefined): string[] =>
  [...new Set(Array.from({ length: CHOICES }, choose))].filter((id) => id !== undefined).sort();

Then(
  'first attempts, further ones, returns and items reach {string}',
  function (this: RegionsWorld, expected: string) {
    const { router, allowed, domains } = this;
    const reached = expected === '' ? [] : readList(expected);
    const send = (excluded: string[]): string | undefined => {
      const chosen = router.chooseForOnline({
        service: 'chat',
        excluded: new Set(excluded),
        allowed,
      });
      return chosen.kind === 'target' ? chosen.target.id : undefined;
    };
    assert.deepEqual(
      repeat(() => send([])),
      reached,
    );
    assert.deepEqual(
      repeat(() => send(reached.slice(0, 1))),
      reached.slice(1),
    );
    assert.equal(
      router.hasAlternative('chat', new Set(reached.slice(0, 1)), undefined, allowed),
      reached.length > 1,
    );
    const returns = domains.filter((id) =>
      router.findReturnTarget('chat', [id], undefined, allowed),
    );
    assert.deepEqual(returns, reached);
    assert.deepEqual(
      repeat(() => router.chooseForBatch('chat', undefined, () => 1, allowed)?.id),
      reached,
    );
    assert.equal(router.hasVersion('chat', 'v1', allowed), reached.length > 0);
  },
);

Then('a request is refused as {string}', function (this: RegionsWorld, kind: string) {
  const chosen = this.router.chooseForOnline({ service: 'chat', allowed: this.allowed });
  assert.equal(chosen.kind, kind);
});

Then(
  'in one pass, items that allow {string}, {string}, {string} and {string} are placed at {string}',
  function (
    this: RegionsWorld,
    first: string,
    second: string,
    third: string,
    fourth: string,
    expected: string,
  ) {
    const allowance = (): number => 8;
    const pass = new SchedulingPass({
      router: this.router,
      allowances: { patient: allowance, relaxed: allowance, urgent: allowance },
      random: Math.random,
    });
    const placed = [first, second, third, fourth].map((regions) => {
      const placement = pass.place({
        services: [{ service: 'chat', weight: 1 }],
        urgency: 'relaxed',
        origin: undefined,
        avoided: new Set(),
        isRestartDue: false,
        allowedRegions: findAllowedRegions(readRegions(regions), undefined),
      });
      return placement?.target.id ?? 'none';
    });
    readList(expected).forEach((id, index) =>
      assert.ok(id === 'any' ? placed[index] !== 'none' : placed[index] === id, placed.join(', ')),
    );
  },
);

const createRow = (failureDomain: string, cores: number) => ({
  address: '127.0.0.1',
  port: 1,
  incarnation: 1,
  failureDomain,
  cores,
});

Given(
  'a host in failure domain {string} with too few cores for items, and capable hosts in {string}',
  function (this: RegionsWorld, own: string, others: string) {
    const identity = { name: 'own', ...createRow(own, 0.1) };
    const members = new Members({
      identity,
      store: new MemoryRecordStore(),
      journal: silentJournal,
    });
    const otherRows = readList(others).map(
      (domain) => [`h-${domain}`, createRow(domain, 1)] as const,
    );
    const rows = [['own', createRow(own, 0.1)] as const, ...otherRows];
    members.replace(
      rows.map(([key, row], index) => ({
        table: MEMBERS_TABLE,
        partition: '',
        key,
        value: Buffer.from(JSON.stringify(row)),
        revision: index + 1,
      })),
      rows.length,
    );
    otherRows.forEach(([host]) =>
      members.applyReport({
        host,
        incarnation: 1,
        sequence: 1,
        ageMs: 0,
        upMs: 1000,
        storeAgeMs: 0,
        isStopping: false,
      } as Parameters<Members['applyReport']>[0]),
    );
    Object.assign(this, { members, own });
  },
);

const createFilter =
  ({ regions }: RegionsWorld, allowed: AllowedRegions | undefined) =>
  (failureDomain: string): boolean =>
    isAllowed(failureDomain, allowed, regions);

Then(
  'a job that allows {string} is held by a host in {string}',
  function (this: RegionsWorld, allowed: string, holder: string) {
    this.allowed = findAllowedRegions(readRegions(allowed), undefined);
    const filter = createFilter(this, this.allowed);
    const [name] = this.members.assignHolder('j-1', performance.now(), filter) ?? [];
    assert.equal(name, holder === 'own' ? 'own' : `h-${holder}`);
  },
);

Then(
  'of the other hosts, those in {string} may take it over',
  function (this: RegionsWorld, domains: string) {
    const workers = this.members.listWorkers(performance.now(), createFilter(this, this.allowed));
    assert.deepEqual(
      workers.filter((name) => name !== 'own').sort(),
      readList(domains).map((domain) => `h-${domain}`),
    );
  },
);

Then(
  'a configuration whose route {string} allows {string} and account {string} allows {string} has unknown regions',
  function (
    this: RegionsWorld,
    route: string,
    routeRegions: string,
    account: string,
    accountRegions: string,
    table: DataTable,
  ) {
    const configuration = {
      routes: [{ name: route, ...readRegions(routeRegions) }],
      accounts: [{ name: account, ...readRegions(accountRegions) }],
    } as unknown as ServingConfiguration;
    assert.deepEqual(
      findUnknownRegions(configuration, this.regions),
      table.hashes().map(({ region, allowedBy }) => ({ region, allowedBy: readList(allowedBy!) })),
    );
  },
);
