import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AccountShares, equalStanding } from '@jacinthlug/serving/admission/AccountShares';
import type { Placement, PlacementRequest } from '@jacinthlug/serving/admission/Admission';
import {
  AdmissionQueue,
  type AdmissionQueueDependencies,
} from '@jacinthlug/serving/admission/AdmissionQueue';
import type { Account } from '@jacinthlug/serving/configuration/ServingConfiguration';
import { AccountWork } from '@jacinthlug/serving/placement/AccountWork';
import { ServiceTimes } from '@jacinthlug/serving/placement/ServiceTimes';
import { createListedTarget } from '../fakes/createListedTarget.js';
import { SteppedTimers } from '../fakes/SteppedTimers.js';

/** Objective for the first event, and time for which the caller waits. Unit: ms. */
const OBJECTIVE_MS = 300;
const CALLER_WAIT_MS = 5000;

/** Time until a target begins its response. Unit: ms. */
const FIRST_EVENT_MS = 75;

interface SentRequest {
  readonly account: string;
  readonly sentAt: number;
  readonly controller: AbortController;
  placement: Placement | undefined;
  placedAt: number;
}

interface AdmissionWorld {
  timers: SteppedTimers;
  queue: AdmissionQueue;
  times: ServiceTimes;
  shares: AccountShares;
  /** Slots and places in the queue of the target that are free. */
  free: number;
  /** Free places that are no slots. */
  queueing: number;
  requests: SentRequest[];
  /** Requests in the order in which they got a target. */
  placed: number[];
  pressing: string | undefined;
  /** Ends of the attempts in progress, the oldest first. */
  ends: (() => void)[];
}

const createAccount = (name: string, rate = 10): Account => ({
  name,
  keys: [],
  rate,
  burst: rate,
  priority: 0,
});

const settle = async (world: AdmissionWorld): Promise<void> => {
  for (let turn = 0; turn < 4; turn += 1) await Promise.resolve();
  world.timers.advance(0);
};

const createQueue = (
  world: AdmissionWorld,
  dependencies: Pick<AdmissionQueueDependencies, 'shares' | 'isRoomShort' | 'hasSlot'>,
): AdmissionQueue =>
  new AdmissionQueue({
    ...dependencies,
    times: world.times,
    timers: world.timers,
    random: () => 0.5,
    metrics: { count: () => undefined, observe: () => undefined },
  });

const beginAttempts = ({ times, timers, ends }: AdmissionWorld, count: number): void => {
  const begunAt = timers.now();
  for (let attempt = 0; attempt < count; attempt += 1) {
    times.begin('chat');
    ends.push(() => {
      times.end('chat');
      times.recordFirst('chat', FIRST_EVENT_MS, timers.now());
      times.recordHold('chat', timers.now() - begunAt, timers.now());
    });
  }
};

const open = (world: AdmissionWorld, free: number, queueing = 0): void => {
  const timers = new SteppedTimers();
  Object.assign(world, { timers, free, queueing, requests: [], placed: [], ends: [] });
  Object.assign(world, { shares: new AccountShares(new AccountWork()), pressing: undefined });
  Object.assign(world, { times: new ServiceTimes() });
  const queue = createQueue(world, {
    shares: {
      ...equalStanding,
      getRatio: (account) => (account?.name === world.pressing ? 5 : 1),
    },
    isRoomShort: () => true,
    hasSlot: () => world.free > world.queueing,
  });
  Object.assign(world, { queue });
};

const send = async (
  world: AdmissionWorld,
  account: string,
  details: Partial<PlacementRequest> = {},
): Promise<SentRequest> => {
  const controller = new AbortController();
  const sentAt = world.timers.now();
  const sent: SentRequest = { account, sentAt, controller, placement: undefined, placedAt: -1 };
  const index = world.requests.push(sent);
  const placement = world.queue.place({
    service: 'chat',
    account: createAccount(account),
    routePriority: 0,
    isNew: true,
    responseDeadline: sentAt + OBJECTIVE_MS,
    callerDeadline: sentAt + CALLER_WAIT_MS,
    signal: controller.signal,
    chooseTarget: () =>
      world.free > 0
        ? { kind: 'target', target: createListedTarget('t-1'), expectedWaitMs: 0 }
        : {
            kind: 'full',
            counts: { accepting: 1, excluded: 0, unhealthy: 0 },
            expectedWaitMs: undefined,
          },
    ...details,
  });
  const settled = Promise.resolve(placement).then((result) => {
    Object.assign(sent, { placement: result, placedAt: world.timers.now() });
    if (result.kind !== 'target') return;
    Object.assign(world, { free: world.free - 1 });
    world.placed.push(index);
  });
  if (!(placement instanceof Promise)) await settled;
  return sent;
};

const sendMany = async (world: AdmissionWorld, account: string, count: number): Promise<void> => {
  for (let sent = 0; sent < count; sent += 1) await send(world, account);
};

const freeSlot = async (world: AdmissionWorld): Promise<void> => {
  Object.assign(world, { free: world.free + 1 });
  world.ends.shift()?.();
  world.queue.retryWaiting();
  await settle(world);
};

const advance = async (world: AdmissionWorld, ms: number): Promise<void> => {
  for (let step = 0; step < ms; step += 5) {
    world.timers.advance(Math.min(5, ms - step));
    await settle(world);
  }
};

const findRefusal = ({ placement }: SentRequest) =>
  placement?.kind === 'full' ? placement.refusal : undefined;

Given('a full target with 8 slots', function (this: AdmissionWorld) {
  open(this, 0);
  beginAttempts(this, 8);
});

Given(
  'a full target with 8 slots, of which one became free each 100 ms',
  async function (this: AdmissionWorld) {
    open(this, 0);
    beginAttempts(this, 8);
    await advance(this, 800);
    this.ends.shift()?.();
    beginAttempts(this, 1);
  },
);

Given('a target with 8 slots in use that queues 1 request more', function (this: AdmissionWorld) {
  open(this, 1, 1);
});

Given(
  'account {string} uses 5 times its fair share',
  function (this: AdmissionWorld, name: string) {
    this.pressing = name;
  },
);

When('account {string} sends a request', async function (this: AdmissionWorld, name: string) {
  await send(this, name);
});

When(
  'account {string} sends a request on a route of priority 1',
  async function (this: AdmissionWorld, name: string) {
    await send(this, name, { routePriority: 1 });
  },
);

When(
  'account {string} sends a request that a target has failed',
  async function (this: AdmissionWorld, name: string) {
    await send(this, name, { isNew: false });
  },
);

When(
  'account {string} sends {int} requests',
  async function (this: AdmissionWorld, name: string, count: number) {
    await sendMany(this, name, count);
  },
);

When(
  '{int} other accounts send a request each',
  async function (this: AdmissionWorld, count: number) {
    for (let account = 0; account < count; account += 1) await send(this, `other-${account}`);
    await settle(this);
  },
);

When('a slot becomes free after {int} ms', async function (this: AdmissionWorld, ms: number) {
  await advance(this, ms);
  await freeSlot(this);
});

When(
  '{int} slots become free, one after the other',
  async function (this: AdmissionWorld, count: number) {
    for (let slot = 0; slot < count; slot += 1) {
      await freeSlot(this);
      await advance(this, 20);
    }
  },
);

When('the requests wait for {int} ms', async function (this: AdmissionWorld, ms: number) {
  await advance(this, ms);
});

When(
  'the caller of request {int} disconnects',
  async function (this: AdmissionWorld, index: number) {
    this.requests[index - 1]!.controller.abort();
    await settle(this);
  },
);

Then(
  'request {int} has a target after {int} ms',
  async function (this: AdmissionWorld, index: number, ms: number) {
    const { placement, placedAt, sentAt } = this.requests[index - 1]!;
    assert.equal(placement?.kind, 'target');
    assert.equal(placedAt - sentAt, ms);
  },
);

Then(
  'request {int} is refused as {string} after {int} ms',
  async function (this: AdmissionWorld, index: number, code: string, ms: number) {
    const request = this.requests[index - 1]!;
    if (!request.placement) await advance(this, ms);
    assert.equal(findRefusal(request)?.code, code);
    assert.equal(request.placedAt - request.sentAt, ms);
  },
);

const getReturnMs = (request: SentRequest): number =>
  (findRefusal(request)?.retryAfterSeconds ?? Number.NaN) * 1000;

Then(
  'its caller returns after {int} to {int} ms',
  function (this: AdmissionWorld, min: number, max: number) {
    const returnMs = getReturnMs(this.requests.at(-1)!);
    assert.ok(returnMs >= min && returnMs <= max, `${returnMs}`);
  },
);

Then(
  'the callers of requests {int} to {int} return at least {int} ms apart',
  function (this: AdmissionWorld, first: number, last: number, ms: number) {
    const returns = this.requests.slice(first - 1, last).map(getReturnMs);
    const gaps = returns.slice(1).map((at, index) => at - returns[index]!);
    assert.ok(gaps.length > 0 && gaps.every((gap) => gap >= ms), returns.join(', '));
  },
);

Then('the requests get targets in the order {}', function (this: AdmissionWorld, order: string) {
  assert.equal(this.placed.join(', '), order);
});

Then(
  '{int} requests of account {string} are refused, and none of another account',
  function (this: AdmissionWorld, count: number, name: string) {
    const refused = this.requests.filter(findRefusal);
    assert.equal(refused.length, count);
    assert.ok(refused.every(({ account }) => account === name));
  },
);

interface HeldSlot {
  readonly endsAt: number;
}

Given(
  '20 slots that are held for 400 ms each, and 9 accounts that send 4 requests a second each',
  function (this: AdmissionWorld) {
    open(this, 20);
    const accounts = ['large', ...Array.from({ length: 9 }, (_, index) => `other-${index}`)];
    this.shares.configure(accounts.map((name) => createAccount(name)));
    this.queue = createQueue(this, {
      shares: this.shares,
      isRoomShort: () => this.free === 0,
      hasSlot: () => true,
    });
  },
);

When(
  'account {string} sends {int} requests a second beside them for {int} s',
  async function (this: AdmissionWorld, name: string, rate: number, seconds: number) {
    const held: HeldSlot[] = [];
    const sendCounted = async (account: string): Promise<void> => {
      this.shares.recordUse(account, 1, this.timers.now());
      await send(this, account);
    };
    let placed = 0;
    let refunded = 0;
    for (let now = 0; now < seconds * 1000; now += 5) {
      await advance(this, 5);
      while (held[0] && held[0].endsAt <= now) {
        held.shift();
        await freeSlot(this);
      }
      if (now % (1000 / rate) === 0) await sendCounted(name);
      if (now % 25 === 0 && now % 250 < 225) await sendCounted(`other-${(now % 250) / 25}`);
      for (; placed < this.placed.length; placed += 1) {
        held.push({ endsAt: now + 400 });
        beginAttempts(this, 1);
      }
      const refused = this.requests.filter(findRefusal);
      refused
        .slice(refunded)
        .forEach(({ account }) => this.shares.recordUse(account, -1, this.timers.now()));
      refunded = refused.length;
    }
  },
);

Then(
  'at least {int} % of the requests of the others are served in time',
  function (this: AdmissionWorld, percent: number) {
    const ended = this.requests.filter(
      ({ account, placement }) => account !== 'large' && placement,
    );
    const served = ended.filter(({ placement }) => placement?.kind === 'target');
    assert.ok(served.length >= (ended.length * percent) / 100, `${served.length}/${ended.length}`);
  },
);

Then(
  'more than {int} requests of account {string} are refused',
  function (this: AdmissionWorld, count: number, name: string) {
    const refused = this.requests.filter(findRefusal).filter(({ account }) => account === name);
    assert.ok(refused.length > count, `${refused.length}`);
  },
);

interface SharesWorld {
  shares: AccountShares;
  work: AccountWork;
  load: { readonly times: number; readonly work: number };
  others: readonly string[];
  now: number;
  ratios: number[];
}

Given(
  'an account that sends {float} times the rate of its limit, with requests of {float} times the work',
  function (this: SharesWorld, times: number, work: number) {
    this.work = new AccountWork();
    this.shares = new AccountShares(this.work);
    this.load = { times, work };
  },
);

Given(
  '{int} other accounts that send what their limits allow',
  function (this: SharesWorld, count: number) {
    this.others = Array.from({ length: count }, (_, index) => `other-${index}`);
    this.shares.configure(['large', ...this.others].map((name) => createAccount(name)));
  },
);

When('{int} of 9 hosts stop reporting after 2 s', function (this: SharesWorld, lost: number) {
  const { times, work } = this.load;
  for (this.now = 0; this.now < 4000; this.now += 100) {
    const reporting = this.now < 2000 ? 9 : 9 - lost;
    const part = reporting / 9;
    this.shares.recordUse('large', times * part, this.now);
    this.work.record('large', 800 * work, this.now);
    this.others.forEach((name) => {
      this.shares.recordUse(name, part, this.now);
      this.work.record(name, 800, this.now);
    });
  }
});

Then(
  /^after 4 s the account is (above|within) its share, and the others are within theirs$/,
  function (this: SharesWorld, standing: string) {
    const ratio = this.shares.getRatio(createAccount('large'), this.now);
    assert.equal(ratio > 1, standing === 'above', `${ratio}`);
    this.others.forEach((name) =>
      assert.equal(this.shares.getRatio(createAccount(name), this.now), 1),
    );
  },
);

Given('a host that has just started', function (this: SharesWorld) {
  this.shares = new AccountShares(new AccountWork());
  this.shares.configure([createAccount('large'), createAccount('a')]);
  this.now = 0;
});

Then('account {string} is within its share', function (this: SharesWorld, name: string) {
  this.shares.recordUse(name, 1, this.now);
  assert.equal(this.shares.getRatio(createAccount(name), this.now), 1);
});

When(
  'account {string} sends bursts of {int} requests, 10 ms apart',
  function (this: SharesWorld, name: string, count: number) {
    this.ratios = [];
    for (; this.now < 200; this.now += 10) {
      this.shares.recordUse(name, count, this.now);
      this.ratios.push(this.shares.getRatio(createAccount(name), this.now));
    }
  },
);

Then('it is within its share at each of them', function (this: SharesWorld) {
  assert.deepEqual([...new Set(this.ratios)], [1]);
});
