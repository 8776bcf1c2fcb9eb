import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import { startHostsStandin } from '@jacinthlug/standins/hosts/startHostsStandin';
import { request } from 'undici';
import { PrometheusHostList } from '../../src/PrometheusHostList.js';
import { useStandin, expectValue, freeAddress, type World } from './world.js';

interface Scenario extends World {
  hosts: PrometheusHostList;
}

const putHosts = async ({ standin }: Scenario, table: DataTable): Promise<void> => {
  const list = table
    .raw()
    .map(([target, labels = '']) => ({ targets: [target], labels: JSON.parse(labels) as unknown }));
  const { statusCode, body } = await request(`${standin.url}/hosts`, {
    method: 'PUT',
    body: JSON.stringify(list),
  });
  await body.dump();
  assert.equal(statusCode, 200);
};

Given('a host list', async function (this: Scenario) {
  const standin = await startHostsStandin(freeAddress);
  this.hosts = new PrometheusHostList(useStandin(this, standin), this.metrics);
});

Given('the listed hosts are', async function (this: Scenario, table: DataTable) {
  await putHosts(this, table);
});

When('the listed hosts change to', async function (this: Scenario, table: DataTable) {
  await putHosts(this, table);
});

Then('the members are', async function (this: Scenario, table: DataTable) {
  const members = expectValue(await this.hosts.list());
  assert.deepEqual(
    members,
    table
      .raw()
      .flat()
      .map((json) => JSON.parse(json) as unknown),
  );
});

Then('the listed states are {string}', async function (this: Scenario, states: string) {
  const members = expectValue(await this.hosts.list());
  assert.equal(members.map(({ state }) => state).join(), states);
});

Then('reading the list fails', async function (this: Scenario) {
  assert.ok((await this.hosts.list()).isErr());
});
