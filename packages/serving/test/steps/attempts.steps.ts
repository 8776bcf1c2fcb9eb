import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { ResponseListener } from '@jacinthlug/serving/http/TargetCall';
import type { ResponseSink } from '@jacinthlug/serving/online/ResponseSink';
import { EventSequence } from '@jacinthlug/serving/online/EventSequence';
import { runAttempt, type AttemptOutcome } from '@jacinthlug/serving/online/runAttempt';
import { SteppedTimers } from '../fakes/SteppedTimers.js';
import { createTarget, plainDialect, plainRequest } from '../fakes/attemptFakes.js';

interface AttemptWorld {
  timers: SteppedTimers;
  target: ResponseListener;
  outcome: AttemptOutcome | undefined;
  endedAt: number;
  lastEventAt: number;
  events: number;
  idleTimeouts: number;
  resumptions: number;
  headReceived: boolean;
  /** Resumes the stream; set while the caller does not read. */
  drain: (() => void) | undefined;
  hasAlternative: boolean;
}

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const createSink = (world: AttemptWorld): ResponseSink => {
  const sequence = new EventSequence();
  let blocked = false;
  return {
    get isContinuation() {
      return world.headReceived;
    },
    expectsEvents: true,
    get lastEventId() {
      return sequence.lastEventId;
    },
    get progress() {
      return sequence.count;
    },
    get isTruncated() {
      return sequence.isTruncated;
    },
    get isUnusable() {
      return sequence.isUnusable;
    },
    begin() {
      Object.assign(world, { headReceived: true });
    },
    write(chunk) {
      sequence.push(chunk);
      blocked = world.drain !== undefined;
      return !blocked;
    },
    onceDrained(resume) {
      Object.assign(world, { drain: resume });
    },
  };
};

Given(
  'an attempt with a head timeout of {int} ms and a body idle timeout of {int} ms',
  function (this: AttemptWorld, headTimeoutMs: number, bodyIdleTimeoutMs: number) {
    this.timers = new SteppedTimers();
    this.events = 0;
    this.idleTimeouts = 0;
    this.resumptions = 0;
    this.headReceived = false;
    this.outcome = undefined;
    this.hasAlternative = true;
    void runAttempt({
      client: {
        send: (_, __, listener) => {
          this.target = listener;
          listener.sent();
          return {
            abort: () => undefined,
            discard: () => undefined,
            pause: () => undefined,
            resume: () => undefined,
          };
        },
      },
      dialect: plainDialect,
      target: createTarget('127.0.0.1:1'),
      request: plainRequest,
      sink: createSink(this),
      signal: new AbortController().signal,
      headTimeoutMs,
      bodyIdleTimeoutMs,
      onIdleTimeout: () => {
        this.idleTimeouts += 1;
        return this.hasAlternative;
      },
      onResumed: () => {
        this.resumptions += 1;
      },
      maxResponseBytes: 1_000_000,
      onResponse: () => undefined,
      onDraining: () => undefined,
      shouldRetryStatus: (status) => status === 500 && this.hasAlternative,
      timers: this.timers,
    }).then((outcome) => {
      this.outcome = outcome;
      this.endedAt = this.timers.now();
    });
  },
);

Given('no other target could continue the stream', function (this: AttemptWorld) {
  this.hasAlternative = false;
});

Given('another target could serve the request', function (this: AttemptWorld) {
  this.hasAlternative = true;
});

const sendHead = async (world: AttemptWorld, ms: number, status: number): Promise<void> => {
  world.timers.advance(ms);
  world.target.head(status, {});
  await settle();
};

When('the response head arrives after {int} ms', function (this: AttemptWorld, ms: number) {
  return sendHead(this, ms, 200);
});

When(
  'the response head arrives after {int} ms with status {int}',
  function (this: AttemptWorld, ms: number, status: number) {
    return sendHead(this, ms, status);
  },
);

const sendEvent = (world: AttemptWorld): void => {
  Object.assign(world, { events: world.events + 1, lastEventAt: world.timers.now() });
  world.target.data(Buffer.from(`id: ${world.events}\ndata: x\n\n`));
};

When('the event after the next one arrives', async function (this: AttemptWorld) {
  this.events += 1;
  sendEvent(this);
  await settle();
});

When(
  '{int} events arrive, one every {int} ms',
  async function (this: AttemptWorld, count: number, ms: number) {
    for (let event = 0; event < count; event += 1) {
      this.timers.advance(ms);
      sendEvent(this);
      await settle();
    }
  },
);

When(
  'one byte of the next event arrives every {int} ms',
  async function (this: AttemptWorld, ms: number) {
    for (let byte = 0; byte < 10; byte += 1) {
      this.timers.advance(ms);
      await settle();
      if (!this.outcome) this.target.data(Buffer.from('i'));
    }
  },
);

When(
  'the caller does not read for {int} ms after the next event',
  async function (this: AttemptWorld, ms: number) {
    this.drain = () => undefined;
    sendEvent(this);
    this.timers.advance(ms);
    await settle();
    const { drain } = this;
    this.drain = undefined;
    drain();
  },
);

When('nothing arrives for {int} ms', async function (this: AttemptWorld, ms: number) {
  this.timers.advance(ms);
  await settle();
});

When(
  'the host stands still for {int} ms, in which an event arrives',
  async function (this: AttemptWorld, ms: number) {
    this.timers.stall(ms, () => sendEvent(this));
    await settle();
  },
);

When('the target ends its response', async function (this: AttemptWorld) {
  this.target.end(undefined);
  await settle();
});

Then(
  /^the attempt ends as (complete|silent|failed|broken)$/,
  function (this: AttemptWorld, kind: string) {
    assert.equal(this.outcome?.kind, kind);
  },
);

Then(
  'the attempt ends as silent, {int} ms after the last event',
  function (this: AttemptWorld, ms: number) {
    assert.equal(this.outcome?.kind, 'silent');
    assert.equal(this.endedAt - this.lastEventAt, ms);
  },
);

Then('the attempt has not ended', function (this: AttemptWorld) {
  assert.equal(this.outcome, undefined);
});

Then(
  'the attempt has not ended and {int} idle timeouts were reported',
  function (this: AttemptWorld, idleTimeouts: number) {
    assert.equal(this.outcome, undefined);
    assert.equal(this.idleTimeouts, idleTimeouts);
  },
);

Then('nothing was passed on', function (this: AttemptWorld) {
  assert.equal(this.headReceived, false);
});

Then(/^the attempt has resumed (\d+) times?$/, function (this: AttemptWorld, times: number) {
  assert.equal(this.resumptions, times);
});
