import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AnswerListener } from '@jacinthlug/serving/http/TargetCall';
import type { AnswerSink } from '@jacinthlug/serving/online/AnswerSink';
import { EventSequence } from '@jacinthlug/serving/online/EventSequence';
import { sendOnce, type AttemptEnd } from '@jacinthlug/serving/online/sendOnce';
import { SteppedTimers } from '../fakes/SteppedTimers.js';

interface AttemptWorld {
  timers: SteppedTimers;
  target: AnswerListener;
  end: AttemptEnd | undefined;
  endedAt: number;
  lastEventAt: number;
  events: number;
  silences: number;
  begun: boolean;
  /** Called when the caller reads on; while it is set, nothing more can be written. */
  drain: (() => void) | undefined;
  mayGoElsewhere: boolean;
}

const settle = (): Promise<void> =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

const createSink = (world: AttemptWorld): AnswerSink => {
  const sequence = new EventSequence();
  let blocked = false;
  return {
    get started() {
      return world.begun;
    },
    get lastEventId() {
      return sequence.lastEventId;
    },
    get progress() {
      return sequence.count;
    },
    get isTorn() {
      return sequence.isTorn;
    },
    get isUnusable() {
      return sequence.isUnusable;
    },
    begin() {
      Object.assign(world, { begun: true });
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
  'an attempt that may be silent for {int} ms before and {int} ms inside its answer',
  function (this: AttemptWorld, firstSilenceMs: number, nextSilenceMs: number) {
    this.timers = new SteppedTimers();
    this.events = 0;
    this.silences = 0;
    this.begun = false;
    this.end = undefined;
    this.mayGoElsewhere = true;
    void sendOnce({
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
      dialect: { judgeHead: () => 'answer', saysLeaving: () => false, callerHeaders: () => ({}) },
      target: {
        id: 't-1',
        bornAt: 1,
        service: 'chat',
        address: '127.0.0.1:1',
        failureDomain: 'a',
        slots: 8,
        state: 'ready',
      },
      request: { method: 'POST', path: '/', headers: [], body: null },
      requestId: 'r-1',
      answer: createSink(this),
      signal: new AbortController().signal,
      firstSilenceMs,
      nextSilenceMs,
      onSilence: () => {
        this.silences += 1;
        return this.mayGoElsewhere;
      },
      answerBytes: 1_000_000,
      onSign: () => undefined,
      onLeaving: () => undefined,
      isFailure: (status) => status === 500 && this.mayGoElsewhere,
      timers: this.timers,
    }).then((end) => {
      this.end = end;
      this.endedAt = this.timers.now();
    });
  },
);

Given('no other target could go on', function (this: AttemptWorld) {
  this.mayGoElsewhere = false;
});

Given('another target could answer instead', function (this: AttemptWorld) {
  this.mayGoElsewhere = true;
});

const sendHead = async (world: AttemptWorld, ms: number, status: number): Promise<void> => {
  world.timers.advance(ms);
  world.target.head(status, {});
  await settle();
};

When('the head comes after {int} ms', function (this: AttemptWorld, ms: number) {
  return sendHead(this, ms, 200);
});

When(
  'the head comes after {int} ms with status {int}',
  function (this: AttemptWorld, ms: number, status: number) {
    return sendHead(this, ms, status);
  },
);

const sendEvent = (world: AttemptWorld): void => {
  Object.assign(world, { events: world.events + 1, lastEventAt: world.timers.now() });
  world.target.data(Buffer.from(`id: ${world.events}\ndata: x\n\n`));
};

When('the next event but one comes', async function (this: AttemptWorld) {
  this.events += 1;
  sendEvent(this);
  await settle();
});

When(
  '{int} events come, one each {int} ms',
  async function (this: AttemptWorld, count: number, ms: number) {
    for (let event = 0; event < count; event += 1) {
      this.timers.advance(ms);
      sendEvent(this);
      await settle();
    }
  },
);

When(
  'a byte of the next event comes each {int} ms',
  async function (this: AttemptWorld, ms: number) {
    for (let byte = 0; byte < 10; byte += 1) {
      this.timers.advance(ms);
      await settle();
      if (!this.end) this.target.data(Buffer.from('i'));
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

When('nothing comes for {int} ms', async function (this: AttemptWorld, ms: number) {
  this.timers.advance(ms);
  await settle();
});

When('the target ends its answer', async function (this: AttemptWorld) {
  this.target.end();
  await settle();
});

Then(
  /^the attempt ends as (complete|silent|failed|broken)$/,
  function (this: AttemptWorld, kind: string) {
    assert.equal(this.end?.kind, kind);
  },
);

Then(
  'the attempt ends as silent, {int} ms after the last event',
  function (this: AttemptWorld, ms: number) {
    assert.equal(this.end?.kind, 'silent');
    assert.equal(this.endedAt - this.lastEventAt, ms);
  },
);

Then('the attempt has not ended', function (this: AttemptWorld) {
  assert.equal(this.end, undefined);
});

Then(
  'the attempt has not ended and {int} silences were noticed',
  function (this: AttemptWorld, silences: number) {
    assert.equal(this.end, undefined);
    assert.equal(this.silences, silences);
  },
);

Then('nothing was passed on', function (this: AttemptWorld) {
  assert.equal(this.begun, false);
});
