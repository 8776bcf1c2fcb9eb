import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When, type DataTable } from '@cucumber/cucumber';
import type { CallerLimits } from '@jacinthlug/serving/configuration/ServingConfiguration';
import { startCallerServer, type StartedServer } from '../fakes/startCallerServer.js';

interface IdleWorld extends StartedServer {
  limits: CallerLimits;
  /** Complete the responses that are held back. */
  releases: (() => void)[];
  callers: IdleCaller[] | undefined;
  statuses: Record<string, string[]>;
}

/** Share of the announced time after which callers still use a connection. */
const USED_SHARE = 0.8;

/** Maximum time to wait for responses. Unit: ms. */
const MAX_WAIT_MS = 4000;

const createRequest = (path: string): string => `GET ${path} HTTP/1.1\r\nhost: x.example\r\n\r\n`;

const FIRST_PART = 'GET /';

/** A connection to the server. */
class IdleCaller {
  readonly socket: Socket;

  private received = '';

  constructor(port: number) {
    this.socket = connect(port, '127.0.0.1');
    this.socket.on('error', () => undefined);
    this.socket.on('data', (bytes) => {
      this.received += bytes.toString();
    });
  }

  /** Statuses of all responses. */
  get statuses(): string[] {
    return [...this.received.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!);
  }

  /** Time that the last response announced; undefined if there was none. Unit: ms. */
  get announcedMs(): number | undefined {
    const [, seconds] = [...this.received.matchAll(/keep-alive: timeout=(\d+)/gi)].at(-1) ?? [];
    return seconds === undefined ? undefined : Number(seconds) * 1000;
  }

  /** Waits for a number of responses, at most until the connection closes or {@link MAX_WAIT_MS} have passed. */
  async waitForStatuses(count: number): Promise<void> {
    const deadline = performance.now() + MAX_WAIT_MS;
    const isDue = (): boolean => this.socket.closed || performance.now() > deadline;
    while (this.statuses.length < count && !isDue()) await sleep(5);
  }
}

/** What is sent on a connection before the limit changes, what completes it after, and its number of responses. */
interface ConnectionState {
  readonly before: string;
  readonly isAnswered?: boolean;
  readonly after?: string;
  readonly responses: number;
}

const states: Readonly<Record<string, ConnectionState>> = {
  unused: { before: '', responses: 0 },
  idle: { before: createRequest('/now'), isAnswered: true, responses: 1 },
  'within a request': {
    before: FIRST_PART,
    after: createRequest('/now').slice(FIRST_PART.length),
    responses: 1,
  },
  'within a response that has not begun': { before: createRequest('/held'), responses: 1 },
  'within a response that has begun': { before: createRequest('/begun'), responses: 1 },
  'within two responses that have not begun': {
    before: createRequest('/held').repeat(2),
    responses: 2,
  },
};

/** Responses by path; they may be completed later. */
const responders: Readonly<
  Record<string, (response: ServerResponse, releases: (() => void)[]) => void>
> = {
  '/held': (response, releases) => releases.push(() => response.end()),
  '/begun': (response, releases) => {
    response.write('x');
    releases.push(() => response.end());
  },
};

const start = async (
  world: IdleWorld,
  limits: Partial<CallerLimits>,
  timeoutCheckMs?: number,
): Promise<void> => {
  const releases: (() => void)[] = [];
  Object.assign(world, { releases, callers: [], statuses: {} });
  const defaults = {
    headerBytes: 16_384,
    bodyBytes: 1000,
    headerTimeoutMs: 5000,
    idleTimeoutMs: 0,
  };
  Object.assign(world, { limits: { ...defaults, ...limits } });
  const started = await startCallerServer(
    ({ url = '' }, response) => {
      const respond = responders[url];
      if (respond) respond(response, releases);
      else response.end();
    },
    world.limits,
    timeoutCheckMs,
  );
  Object.assign(world, started);
};

const open = async (world: IdleWorld): Promise<IdleCaller> => {
  const caller = new IdleCaller(world.port);
  world.callers!.push(caller);
  await once(caller.socket, 'connect');
  return caller;
};

Given(
  /^a server with an idle limit of (\d+) ms(?: that checks every (\d+) ms whether a head takes longer than (\d+) ms)?$/,
  async function (this: IdleWorld, idle: string, check: string | null, header: string | null) {
    await start(
      this,
      { idleTimeoutMs: Number(idle), ...(header && { headerTimeoutMs: Number(header) }) },
      check ? Number(check) : undefined,
    );
  },
);

When(
  'the limit becomes {int} ms, and connections in each state send a request after four fifths of the announced time',
  async function (this: IdleWorld, idleTimeoutMs: number) {
    const used = await Promise.all(
      Object.entries(states).map(async ([name, state]) => {
        const caller = await open(this);
        caller.socket.write(state.before);
        if (state.isAnswered) await caller.waitForStatuses(state.responses);
        return { name, state, caller };
      }),
    );
    const { length: held } = used.flatMap(({ state }) => state.before.match(/held|begun/g) ?? []);
    while (this.releases.length < held) await sleep(5);
    this.server.applyLimits({ ...this.limits, idleTimeoutMs });
    this.releases.forEach((release) => release());
    await Promise.all(
      used.map(async ({ name, state, caller }) => {
        if (state.after) caller.socket.write(state.after);
        await caller.waitForStatuses(state.responses);
        await sleep((caller.announcedMs ?? this.limits.idleTimeoutMs) * USED_SHARE);
        caller.socket.write(createRequest('/now'));
        await caller.waitForStatuses(state.responses + 1);
        this.statuses[name] = caller.statuses.slice(state.responses);
      }),
    );
  },
);

Then('all of them are served:', function (this: IdleWorld, table: DataTable) {
  const served = table.raw().map(([name]) => [name, ['200']]);
  assert.deepEqual(this.statuses, Object.fromEntries(served));
});

When(
  'a caller sends a request after four fifths of the idle limit, and another one a part of a request',
  async function (this: IdleWorld) {
    const [first, other] = await Promise.all([open(this), open(this)]);
    await sleep(this.limits.idleTimeoutMs * USED_SHARE);
    first.socket.write(createRequest('/now'));
    other.socket.write(FIRST_PART);
    await Promise.all([first.waitForStatuses(1), other.waitForStatuses(1)]);
    Object.assign(this.statuses, { first: first.statuses, other: other.statuses });
  },
);

Then(
  'the first one gets status {int}, and the other one gets status {int}',
  function (this: IdleWorld, first: number, other: number) {
    assert.deepEqual(this.statuses, { first: [String(first)], other: [String(other)] });
  },
);

After(async function (this: Partial<IdleWorld>) {
  if (!this.callers) return;
  this.callers.forEach(({ socket }) => socket.destroy());
  await this.server?.stop(performance.now());
});
