import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import {
  chooseReplaced,
  type ReplaceableConnection,
} from '@jacinthlug/control/callers/chooseReplaced';

interface ReplacedWorld {
  connections: (ReplaceableConnection & { readonly name: string })[];
}

Given(
  'connections {string} and {string}',
  function (this: ReplacedWorld, first: string, second: string) {
    this.connections = [first, second].map((description) => {
      const [name = '', isServing, hasHadRequest, silentMs] = description.split(' ');
      return {
        name,
        isServing: isServing === 'yes',
        hasHadRequest: hasHadRequest === 'yes',
        receivedAt: -Number(silentMs),
      };
    });
  },
);

Then('{string} is closed for a new one', function (this: ReplacedWorld, name: string) {
  assert.equal(chooseReplaced(this.connections)?.name ?? '', name);
});
