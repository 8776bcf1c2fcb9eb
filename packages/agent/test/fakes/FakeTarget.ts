/** A target whose answers are told by the content of the request. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type {
  BatchSlot,
  TargetAccess,
  TargetAnswer,
  TargetFailure,
  TargetRequest,
} from '../../src/core/TargetAccess.js';

type Outcome = Result<TargetAnswer, TargetFailure>;

interface Slot extends BatchSlot {
  readonly preemption: AbortController;
}

const answer = (status: number, body: object): Outcome =>
  ok({ status, headers: {}, body: JSON.stringify(body) });

export class FakeTarget implements TargetAccess {
  /** Contents of the requests that came, in order. */
  readonly seen: string[] = [];

  /** Contents in the target at each crash. */
  readonly crashes: string[][] = [];

  /** Most requests in the target at once. */
  peak = 0;

  spare = true;

  /** Keeps answers back until it is reset. */
  holds = false;

  private readonly served = ['olmo'];

  private closed = false;

  private readonly slots = new Set<Slot>();

  private readonly inside = new Map<(outcome: Outcome) => void, string>();

  private readonly failures = new Map<string, number>();

  constructor(private readonly concurrency: number) {}

  hasSpareCapacity(): boolean {
    return this.spare;
  }

  models(): readonly string[] {
    return this.served;
  }

  /** Ends the tasks of the target after a scenario; nothing is answered any more. */
  close(): void {
    this.closed = true;
  }

  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.acquire(signal, () => this.slots.size < this.concurrency);
  }

  acquireAlone(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.acquire(signal, () => this.slots.size === 0);
  }

  /** Takes all slots away for online requests. */
  preempt(): void {
    this.slots.forEach(({ preemption }) => preemption.abort());
  }

  async run(request: TargetRequest, signal: AbortSignal): Promise<Outcome> {
    const body = JSON.parse(request.body) as { messages: { content: string }[] };
    const content = body.messages[0]?.content ?? '';
    this.seen.push(content);
    return new Promise((resolve) => {
      this.inside.set(resolve, content);
      this.peak = Math.max(this.peak, this.inside.size);
      const leave = (outcome: Outcome): void => {
        this.inside.delete(resolve);
        resolve(outcome);
      };
      signal.addEventListener('abort', () => leave(err({ kind: 'cancelled' })));
      void this.release().then(() => {
        if (this.inside.has(resolve) && !this.closed) this.finish(content, leave);
      });
    });
  }

  private async release(): Promise<void> {
    do await nextTurn();
    while (this.holds && !this.closed);
  }

  private finish(content: string, leave: (outcome: Outcome) => void): void {
    const [word = '', name = ''] = content.split(' ');
    const failures = this.failures.get(name) ?? 0;
    if (word === 'impossible') leave(answer(400, { error: { message: 'impossible' } }));
    else if (word === 'crash') this.crash();
    else if (word === 'failing' || (word === 'flaky' && failures < 2)) {
      this.failures.set(name, failures + 1);
      leave(answer(503, { error: { message: 'failed' } }));
    } else if (word !== 'endless') leave(answer(200, { content }));
  }

  private crash(): void {
    this.crashes.push([...this.inside.values()]);
    const resolves = [...this.inside.keys()];
    this.inside.clear();
    resolves.forEach((resolve) => resolve(err({ kind: 'crashed', message: 'connection reset' })));
  }

  private async acquire(
    signal: AbortSignal,
    hasRoom: () => boolean,
  ): Promise<BatchSlot | undefined> {
    while (!signal.aborted) {
      if (hasRoom()) {
        const preemption = new AbortController();
        const slot: Slot = {
          preemption,
          preempted: preemption.signal,
          release: () => this.slots.delete(slot),
        };
        this.slots.add(slot);
        return slot;
      }
      if (this.closed) return new Promise<undefined>(() => {});
      await nextTurn();
    }
    return undefined;
  }
}
