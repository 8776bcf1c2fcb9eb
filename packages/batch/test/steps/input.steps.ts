import assert from 'node:assert/strict';
import { Given, Then, When, type DataTable } from '@cucumber/cucumber';
import type { Result } from 'neverthrow';
import {
  checkInput,
  isBlank,
  parseItem,
  type CheckedInput,
  type InputError,
} from '../../src/input/checkInput.js';
import { inputLine, rules, seededRandom } from '../fakes/BatchBench.js';
import { unwrap, unwrapErr } from '../fakes/unwrap.js';

interface Scenario {
  lines: string[];
  content: Buffer;
  result: Result<CheckedInput, InputError[]>;
}

Given('the input lines', function (this: Scenario, table: DataTable) {
  this.lines = table.raw().flat();
});

Given('no input lines', function (this: Scenario) {
  this.lines = [];
});

Given('{int} malformed lines', function (this: Scenario, count: number) {
  this.lines = Array.from({ length: count }, () => '{');
});

Given(
  '{int} items of seed {int} with blank lines between',
  function (this: Scenario, count: number, seed: number) {
    const random = seededRandom(seed);
    this.lines = Array.from({ length: count }, (_, index) => {
      const line = inputLine(`item-${index}`, 'ñ'.repeat(random() * 50));
      return random() < 0.1 ? `${line}\n \r` : line;
    });
  },
);

When('the input is checked', async function (this: Scenario) {
  this.content = Buffer.from(this.lines.join('\n'));
  const pieces = function* pieces(content: Buffer) {
    for (let offset = 0; offset < content.length; offset += 997)
      yield content.subarray(offset, offset + 997);
  };
  const stream = async function* stream(content: Buffer) {
    yield* pieces(content);
  };
  this.result = await checkInput(stream(this.content), rules);
});

Then('the errors are on the lines {string}', function (this: Scenario, lines: string) {
  const found = unwrapErr(this.result).map(({ line }) => line);
  assert.equal(found.join(', '), lines);
});

Then(
  'the error on line {int} is {string}',
  function (this: Scenario, line: number, message: string) {
    const error = unwrapErr(this.result).find((one) => one.line === line);
    assert.equal(error?.message, message);
  },
);

Then('{int} errors are reported', function (this: Scenario, count: number) {
  assert.equal(unwrapErr(this.result).length, count);
});

Then(
  'the chunks contain all items in order, at most {int} in each',
  function (this: Scenario, perChunk: number) {
    const { chunks, items } = unwrap(this.result);
    const ids = chunks.flatMap(({ first, last, items: size }) => {
      const lines = this.content
        .subarray(first, last + 1)
        .toString('utf8')
        .split('\n')
        .filter((line) => !isBlank(Buffer.from(line)));
      assert.equal(lines.length, size);
      assert.ok(size <= perChunk);
      return lines.map((line) => unwrap(parseItem(Buffer.from(line))).custom_id);
    });
    assert.deepEqual(
      ids,
      this.lines.map((_, index) => `item-${index}`),
    );
    assert.equal(items, this.lines.length);
  },
);
