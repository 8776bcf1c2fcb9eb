import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { After, Given, Then } from '@cucumber/cucumber';
import { createControlListener } from '@jacinthlug/protocol/controlServer';
import { eventually, FLEET_CREDENTIAL, type AgentFixture } from '../support/AgentFixture.js';

interface Scenario {
  fixture: AgentFixture;
  entry?: Server;
  reported: string[];
}

Given('an entry host that accepts crash reports', async function (this: Scenario) {
  this.reported = [];
  const listener = createControlListener(
    {
      watchConfiguration: () => Promise.reject(new Error('not served by the fake')),
      addSuspects: ({ fingerprints }) => {
        this.reported.push(...fingerprints);
        return Promise.resolve();
      },
    },
    FLEET_CREDENTIAL,
  );
  const server = createServer(listener);
  this.entry = server;
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  this.fixture.addEntry(`127.0.0.1:${port}`);
});

After(function (this: Scenario) {
  this.entry?.close();
  this.entry?.closeAllConnections();
});

Then('only {string} is reported to the entry host', async function (this: Scenario, id: string) {
  await eventually(() => this.reported.length > 0);
  assert.deepEqual(this.reported, [`print-${id}`]);
});
