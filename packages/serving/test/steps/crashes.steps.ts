import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Clock } from '@jacinthlug/control/time/Clock';
import { silentJournal } from '@jacinthlug/catalog/Journal';
import { BLOCKED_CONTENT_TABLE, BlockedContent } from '@jacinthlug/serving/crashes/BlockedContent';
import { findItemRelease } from '@jacinthlug/serving/batch/findItemRelease';
import { computeContentKeys } from '@jacinthlug/serving/crashes/contentKeys';
import { CrashGuard } from '@jacinthlug/serving/crashes/CrashGuard';
import { createReport } from '../fakes/createReport.js';
import { MemoryRecordStore } from '../fakes/MemoryRecordStore.js';

const SERVICE = 'chat';

/** Interval at which background chats are served. Unit: ms. */
const SERVING_INTERVAL_MS = 20;

/** How long background chats are served before the first crash. Unit: ms. */
const WARM_UP_MS = 5000;

/** Time of a chat at its target before the target crashes. Unit: ms. */
const RUN_MS = 10;

/** Time between two bursts of crashes, and between two waves of a burst. Unit: ms. */
const CALM_MS = 3000;
const WAVE_INTERVAL_MS = 400;

/** Time between two crashes. Unit: ms. */
const CRASH_INTERVAL_MS = 200;

/** Numbers of different first and second parts of the chats in bursts of crashes. */
const BASES = 40;
const TOPICS = 437;

/** Longer than the first block. Unit: ms. */
const AFTER_FIRST_BLOCK_MS = 121_000;

/** Clock without sleepers, whose time is set by the test. */
class ManualClock implements Clock {
  private currentMs = 0;

  now(): number {
    return this.currentMs;
  }

  // eslint-disable-next-line class-methods-use-this
  sleep(): Promise<void> {
    return Promise.resolve();
  }

  advance(ms: number): void {
    this.currentMs += ms;
  }
}

interface HostUnderTest {
  readonly name: string;
  readonly incarnation: number;
  readonly guard: CrashGuard;
  readonly blockedContent: BlockedContent;
  sequence: number;
}

interface CrashWorld {
  clock: ManualClock;
  store: MemoryRecordStore;
  hosts: HostUnderTest[];
  incarnations: number;
  requests: number;
  crashes: number;
  /** Parts of the chats that are served all the time. */
  backgroundParts: string | undefined;
}

/** Computes the keys of a chat that differs from all others but for its parts. */
const createChat = (world: CrashWorld, parts: string): string[] => {
  Object.assign(world, { requests: world.requests + 1 });
  return computeContentKeys({
    service: SERVICE,
    account: 'fitters',
    path: `/chats/${world.requests}`,
    sharedPromptParts: parts.split(','),
    body: Buffer.from(`chat ${world.requests}`),
  });
};

const plainRequest = (path: string): string[] =>
  computeContentKeys({
    service: SERVICE,
    account: 'fitters',
    path,
    sharedPromptParts: [],
    body: Buffer.from('hello'),
  });

const SAME_REQUEST = plainRequest('/same');

const startHost = async (world: CrashWorld, name: string): Promise<HostUnderTest> => {
  Object.assign(world, { incarnations: world.incarnations + 1 });
  const blockedContent = new BlockedContent({ store: world.store, journal: silentJournal });
  const page = await world.store.readTable(BLOCKED_CONTENT_TABLE);
  page.map(({ records, revision }) => blockedContent.replace(records, revision, world.clock.now()));
  const guard = new CrashGuard({ blockedContent, journal: silentJournal });
  return { name, incarnation: world.incarnations, guard, blockedContent, sequence: 0 };
};

/** Sends the report of each host to all others. */
const exchangeReports = ({ hosts, clock }: CrashWorld): void =>
  hosts.forEach((sender) => {
    Object.assign(sender, { sequence: sender.sequence + 1 });
    const content = sender.guard.createReport(clock.now());
    const report = {
      ...createReport(sender.name, sender.sequence, content),
      incarnation: sender.incarnation,
    };
    hosts
      .filter((each) => each !== sender)
      .forEach(({ guard }) => guard.applyReport(report, clock.now()));
  });

/** Lets time pass, in which background chats are served on all hosts in turn and reports are exchanged. */
const pass = (world: CrashWorld, ms: number): void => {
  const { clock, hosts, backgroundParts } = world;
  for (let passed = 0; passed < ms; passed += SERVING_INTERVAL_MS) {
    clock.advance(Math.min(SERVING_INTERVAL_MS, ms - passed));
    if (backgroundParts) {
      const { guard } = hosts[world.requests % hosts.length]!;
      guard.recordServed(SERVICE, createChat(world, backgroundParts), clock.now());
    }
    exchangeReports(world);
  }
};

/** Crashes a target under requests of some hosts. */
const crash = (
  world: CrashWorld,
  failed: readonly (readonly [HostUnderTest, string[]])[],
): void => {
  const { clock } = world;
  Object.assign(world, { crashes: world.crashes + 1 });
  const sentAt = clock.now();
  clock.advance(RUN_MS);
  failed.forEach(([{ guard }, contentKeys]) =>
    guard.recordFailure(
      { target: `t-${world.crashes}`, service: SERVICE, contentKeys, sentAt },
      clock.now(),
    ),
  );
  exchangeReports(world);
};

/** Crashes targets one after the other, each under requests of the next host. */
const crashOnHosts = (
  world: CrashWorld,
  count: number,
  createKeys: (index: number) => string[],
  hostOf = (index: number): HostUnderTest => world.hosts[index % world.hosts.length]!,
): void => {
  for (let index = 0; index < count; index += 1) {
    const bystander = world.backgroundParts ?? 'bystander';
    crash(world, [
      [hostOf(index), createKeys(index)],
      [world.hosts.at(-1)!, createChat(world, bystander)],
    ]);
    pass(world, CRASH_INTERVAL_MS);
  }
};

const save = async ({ hosts, clock }: CrashWorld): Promise<void> => {
  for (const { blockedContent } of hosts) await blockedContent.save(clock.now());
};

Given(
  '{int} hosts that exchange load reports and share a store',
  async function (this: CrashWorld, count: number) {
    this.clock = new ManualClock();
    this.store = new MemoryRecordStore();
    this.store.enableLongPolling(this.clock);
    Object.assign(this, { incarnations: 0, requests: 0, crashes: 0, hosts: [] });
    for (let host = 1; host <= count; host += 1)
      this.hosts.push(await startHost(this, `h-${host}`));
  },
);

Given(
  'chats with the parts {string} are served all the time',
  function (this: CrashWorld, parts: string) {
    this.backgroundParts = parts;
    pass(this, WARM_UP_MS);
  },
);

const serveOnAllHosts = (world: CrashWorld, parts: string): void => {
  world.hosts.forEach(({ guard }) =>
    guard.recordServed(SERVICE, createChat(world, parts), world.clock.now()),
  );
  pass(world, CRASH_INTERVAL_MS);
};

Given(
  /^chats with the parts "([^"]+)" (?:are|were) served(?: before)?$/,
  function (this: CrashWorld, parts: string) {
    serveOnAllHosts(this, parts);
  },
);

When(
  'a chat with the parts {string} that was sent before the block is served on the first host',
  function (this: CrashWorld, parts: string) {
    this.hosts[0]!.guard.recordServed(SERVICE, createChat(this, parts), this.clock.now());
    pass(this, CRASH_INTERVAL_MS);
  },
);

Given('the store does not respond', function (this: CrashWorld) {
  this.store.down = true;
});

When('the store responds again', async function (this: CrashWorld) {
  await save(this);
  this.store.down = false;
});

When(
  /^(\d+) targets? crash(?:es)? under (?:a chat|chats) with the parts "([^"]+)"(?:, each on another host)?$/,
  function (this: CrashWorld, count: string, parts: string) {
    crashOnHosts(this, Number(count), () => createChat(this, parts));
  },
);

When(
  '{int} targets crash under chats with the parts {string}, all on the first host',
  function (this: CrashWorld, count: number, parts: string) {
    crashOnHosts(
      this,
      count,
      () => createChat(this, parts),
      () => this.hosts[0]!,
    );
  },
);

When(
  '{int} target crashes under a chat with the parts {string} on the second host',
  function (this: CrashWorld, count: number, parts: string) {
    crashOnHosts(
      this,
      count,
      () => createChat(this, parts),
      () => this.hosts[1]!,
    );
  },
);

When(
  '{int} targets crash under chats with the parts {string} and a second part that is different in each',
  function (this: CrashWorld, count: number, part: string) {
    crashOnHosts(this, count, (index) => createChat(this, `${part},second-${index}`));
  },
);

When(
  '{int} targets crash under the same request without parts, each on another host',
  function (this: CrashWorld, count: number) {
    crashOnHosts(this, count, () => SAME_REQUEST);
  },
);

When(
  '{int} targets crash within a second, each with a chat of the parts {string}',
  function (this: CrashWorld, count: number, parts: string) {
    for (let index = 0; index < count; index += 1) {
      crash(this, [
        [this.hosts[index % this.hosts.length]!, createChat(this, parts)],
        [this.hosts[(index + 1) % this.hosts.length]!, createChat(this, parts)],
      ]);
      this.clock.advance(RUN_MS);
    }
  },
);

/** Pseudo-random numbers in [0, 1) of a linear congruential generator. */
const createRandom = (seed: number): (() => number) => {
  let state = seed;
  return () => {
    state = (state * 1_103_515_245 + 12_345) % 2_147_483_648;
    return state / 2_147_483_648;
  };
};

When(
  'every target crashes again and again, and {float} of {int} out of {int} starting chats fail with them, seed {int}',
  function (this: CrashWorld, share: number, inStorm: number, total: number, seed: number) {
    const random = createRandom(seed);
    const pickHost = (): HostUnderTest => this.hosts[Math.floor(random() * this.hosts.length)]!;
    const stormPeriod = total / 10;
    for (let chat = 0; chat < total; chat += 1) {
      const isInStorm = chat % stormPeriod < inStorm / 10;
      const parts = `base-${Math.floor(random() * BASES)},topic-${Math.floor(random() * TOPICS)}`;
      const host = pickHost();
      const contentKeys = createChat(this, parts);
      if (isInStorm && random() < share) crash(this, [[host, contentKeys]]);
      else host.guard.recordServed(SERVICE, contentKeys, this.clock.now());
      pass(this, SERVING_INTERVAL_MS);
    }
  },
);

When(
  'in {int} bursts of {int} waves {int} targets crash, each under {int} chats that have just started, seed {int}',
  function (
    this: CrashWorld,
    bursts: number,
    waves: number,
    targets: number,
    chats: number,
    seed: number,
  ) {
    const random = createRandom(seed);
    const pickHost = (): HostUnderTest => this.hosts[Math.floor(random() * this.hosts.length)]!;
    // Squaring makes parts with low numbers popular.
    const pickChat = (): string[] =>
      createChat(
        this,
        `base-${Math.floor(random() ** 2 * BASES)},topic-${Math.floor(random() * TOPICS)}`,
      );
    const serve = (ms: number): void => {
      for (let passed = 0; passed < ms; passed += SERVING_INTERVAL_MS) {
        pickHost().guard.recordServed(SERVICE, pickChat(), this.clock.now());
        pass(this, SERVING_INTERVAL_MS);
      }
    };
    for (let burst = 0; burst < bursts; burst += 1) {
      serve(CALM_MS);
      for (let wave = 0; wave < waves; wave += 1) {
        for (let target = 0; target < targets; target += 1)
          crash(
            this,
            Array.from({ length: chats }, () => [pickHost(), pickChat()] as const),
          );
        serve(WAVE_INTERVAL_MS);
      }
    }
  },
);

When('the first host is lost', function (this: CrashWorld) {
  this.hosts.shift();
});

When('all hosts restart', async function (this: CrashWorld) {
  await save(this);
  this.hosts = await Promise.all(this.hosts.map(({ name }) => startHost(this, name)));
});

const passFirstBlock = async (world: CrashWorld): Promise<void> => {
  await save(world);
  Object.assign(world, { backgroundParts: undefined });
  world.clock.advance(AFTER_FIRST_BLOCK_MS);
};

When('its block has passed', function (this: CrashWorld) {
  return passFirstBlock(this);
});

When('the time of the first block has passed again', function (this: CrashWorld) {
  return passFirstBlock(this);
});

const isRefused = (world: CrashWorld, host: HostUnderTest, contentKeys: string[]): boolean =>
  host.guard.findBlock(contentKeys, world.clock.now()) !== undefined;

const assertOnAllHosts = (world: CrashWorld, contentKeys: string[], verdict: string): void =>
  world.hosts.forEach((host) =>
    assert.equal(isRefused(world, host, contentKeys), verdict === 'refused', host.name),
  );

Then(
  /^chats with the parts "([^"]+)" are (refused|accepted) on every host$/,
  function (this: CrashWorld, parts: string, verdict: string) {
    assertOnAllHosts(this, createChat(this, parts), verdict);
  },
);

Then('this request is refused on every host', function (this: CrashWorld) {
  assertOnAllHosts(this, SAME_REQUEST, 'refused');
});

Then('this request is accepted on every host', function (this: CrashWorld) {
  assertOnAllHosts(this, SAME_REQUEST, 'accepted');
});

/** Lets time pass until an item with blocked content may run at the first host. */
const waitForItem = (world: CrashWorld, contentKeys: string[]): void => {
  const { guard } = world.hosts[0]!;
  const now = (): number => world.clock.now();
  for (
    let block = guard.findBlock(contentKeys, now());
    block && findItemRelease(block) > now();
    block = guard.findBlock(contentKeys, now())
  )
    pass(world, CRASH_INTERVAL_MS);
};

Then(
  'a batch item with that request runs {int} times within {int} s, if each run crashes its target',
  function (this: CrashWorld, count: number, seconds: number) {
    const endsAt = this.clock.now() + seconds * 1000;
    let runs = 0;
    for (waitForItem(this, SAME_REQUEST); this.clock.now() < endsAt; runs += 1) {
      crash(this, [[this.hosts[0]!, SAME_REQUEST]]);
      waitForItem(this, SAME_REQUEST);
    }
    assert.equal(runs, count);
  },
);

When('a batch item with that request runs and is served', function (this: CrashWorld) {
  waitForItem(this, SAME_REQUEST);
  this.hosts[0]!.guard.recordServed(SERVICE, SAME_REQUEST, this.clock.now());
  pass(this, CRASH_INTERVAL_MS);
});

Then(
  'a batch item with the parts {string} waits until the block ends',
  function (this: CrashWorld, parts: string) {
    const block = this.hosts[0]!.guard.findBlock(createChat(this, parts), this.clock.now())!;
    assert.equal(findItemRelease(block), block.until);
  },
);

Then('another request of its caller is accepted on every host', function (this: CrashWorld) {
  assertOnAllHosts(this, plainRequest('/other'), 'accepted');
});

Then('no content is blocked on any host', function (this: CrashWorld) {
  for (let topic = 0; topic < TOPICS; topic += 1)
    assertOnAllHosts(this, createChat(this, `base-${topic % BASES},topic-${topic}`), 'accepted');
});
