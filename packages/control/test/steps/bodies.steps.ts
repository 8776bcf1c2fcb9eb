import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { BodyBudget } from '@jacinthlug/control/bodies/BodyBudget';
import { GrowingBlock } from '@jacinthlug/control/bodies/GrowingBlock';

interface BodiesWorld {
  now: number;
  budget: BodyBudget;
  yielded: string[];
  isHeld: boolean;
  content: Buffer;
  expected: Buffer;
}

/** Monotonic time of the arrival. Unit: ms. */
const ARRIVAL = 100_000;

const addBody = (world: BodiesWorld, description: string): void => {
  const [name = '', holder = '', bytes, ageMs, silentMs, complete] = description.split(' ');
  Object.assign(world, { now: ARRIVAL - Number(ageMs) });
  const body = world.budget.open(holder, () => world.yielded.push(name));
  Object.assign(world, { now: ARRIVAL - Number(silentMs) });
  assert.ok(body.reserve(Number(bytes)));
  Object.assign(body, { isComplete: complete === 'yes' });
};

Given(
  'a memory of {int} bytes, which holds {string} and {string}',
  function (this: BodiesWorld, bytes: number, first: string, second: string) {
    this.yielded = [];
    this.budget = new BodyBudget(bytes, () => this.now);
    [first, second].forEach((description) => addBody(this, description));
    this.now = ARRIVAL;
  },
);

When(
  'a body of {int} bytes of {string} arrives',
  function (this: BodiesWorld, bytes: number, holder: string) {
    this.isHeld = this.budget.open(holder, () => this.yielded.push('new')).reserve(bytes);
  },
);

Then(
  /^it is (held|refused), and "(.*)" yields$/,
  function (this: BodiesWorld, outcome: string, yielding: string) {
    assert.deepEqual(this.yielded, yielding === '' ? [] : [yielding]);
    assert.equal(this.isHeld, outcome === 'held');
    assert.ok(this.budget.heldBytes <= this.budget.limitBytes);
  },
);

When(
  'a block for {int} bytes gets {int} pieces of {int} bytes',
  function (this: BodiesWorld, maximum: number, count: number, size: number) {
    const pieces = Array.from({ length: count }, (_, index) => Buffer.alloc(size, index));
    const block = new GrowingBlock(maximum);
    pieces.forEach((piece) => {
      assert.ok(block.sizeWith(piece.length) <= maximum);
      block.append(piece);
    });
    this.content = block.take();
    this.expected = Buffer.concat(pieces);
  },
);

Then(
  'it holds all of them in order, and was never larger than announced',
  function (this: BodiesWorld) {
    assert.ok(this.content.equals(this.expected));
  },
);
