/** Fake target whose response depends on the first word of the request content. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { err, ok, type Result } from 'neverthrow';
import type {
  BatchSlot,
  TargetAccess,
  TargetFailure,
  TargetRequest,
  TargetResponse,
} from '../../src/core/TargetAccess.js';

type RunResult = Result<TargetResponse, TargetFailure>;

interface Slot extends BatchSlot {
  readonly preemption: AbortController;
}

const createResponse = (status: number, body: object): RunResult =>
  ok({ status, headers: {}, body: JSON.stringify(body) });

export class FakeTarget implements TargetAccess {
  /** Contents of the received requests, in order. */
  readonly receivedContents: string[] = [];

  /** Contents of the requests in flight at each crash. */
  readonly crashes: string[][] = [];

  /** Highest number of requests in flight at once. */
  peakRequests = 0;

  hasCapacity = true;

  /** Whether responses are held back. */
  holdsResponses = false;

  private readonly served = ['olmo'];

  private isClosed = false;

  private readonly slots = new Set<Slot>();

  private readonly inFlight = new Map<(outcome: RunResult) => void, string>();

  private readonly failures = new Map<string, number>();

  constructor(private readonly concurrency: number) {}

  hasSpareCapacity(): boolean {
    return this.hasCapacity;
  }

  listModels(): readonly string[] {
    return this.served;
  }

  /** Ends the tasks of the target after a scenario; no more responses are sent. */
  close(): void {
    this.isClosed = true;
  }

  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.acquire(signal, () => this.slots.size < this.concurrency);
  }

  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.acquire(signal, () => this.slots.size === 0);
  }

  /** Preempts all slots for online requests. */
  preempt(): void {
    this.slots.forEach(({ preemption }) => preemption.abort());
  }

  async run(request: TargetRequest, signal: AbortSignal): Promise<RunResult> {
    const body = JSON.parse(request.body) as { messages: { content: string }[] };
    const content = body.messages[0]?.content ?? '';
    this.receivedContents.push(content);
    return new Promise((resolve) => {
      this.inFlight.set(resolve, content);
      this.peakRequests = Math.max(this.peakRequests, this.inFlight.size);
      const leave = (outcome: RunResult): void => {
        this.inFlight.delete(resolve);
        resolve(outcome);
      };
      signal.addEventListener('abort', () => leave(err({ kind: 'cancelled' })));
      void this.waitForRelease().then(() => {
        if (this.inFlight.has(resolve) && !this.isClosed) this.finish(content, leave);
      });
    });
  }

  private async waitForRelease(): Promise<void> {
    do await nextTurn();
    while (this.holdsResponses && !this.isClosed);
  }

  private finish(content: string, leave: (outcome: RunResult) => void): void {
    const [behaviour = '', name = ''] = content.split(' ');
    const failures = this.failures.get(name) ?? 0;
    if (behaviour === 'impossible')
      leave(createResponse(400, { error: { message: 'impossible' } }));
    else if (behaviour === 'crash') this.crash();
    else if (behaviour === 'unlucky' && failures < 2) {
      this.failures.set(name, failures + 1);
      this.crash();
    } else if (behaviour === 'failing' || (behaviour === 'flaky' && failures < 2)) {
      this.failures.set(name, failures + 1);
      leave(createResponse(503, { error: { message: 'failed' } }));
    } else if (behaviour !== 'endless') leave(createResponse(200, { content }));
  }

  private crash(): void {
    this.crashes.push([...this.inFlight.values()]);
    const resolves = [...this.inFlight.keys()];
    this.inFlight.clear();
    resolves.forEach((resolve) => resolve(err({ kind: 'crashed', message: 'connection reset' })));
  }

  private async acquire(
    signal: AbortSignal,
    hasFreeSlot: () => boolean,
  ): Promise<BatchSlot | undefined> {
    while (!signal.aborted) {
      if (hasFreeSlot()) {
        const preemption = new AbortController();
        const slot: Slot = {
          preemption,
          preempted: preemption.signal,
          release: () => this.slots.delete(slot),
        };
        this.slots.add(slot);
        return slot;
      }
      if (this.isClosed) return new Promise<undefined>(() => {});
      await nextTurn();
    }
    return undefined;
  }
}
