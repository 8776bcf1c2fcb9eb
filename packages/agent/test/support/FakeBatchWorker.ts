/** Fake of the batch worker. */
import type { CancelNotice } from '@jacinthlug/protocol/messages';
import type { BatchWorker } from '../../src/core/BatchWorker.js';
import type { TargetAccess, TargetFailure } from '../../src/core/TargetAccess.js';

const MODEL = 'atlas-7b';

/** Keeps endless batch streams running in the target; a preempted one waits for a slot again. */
export class FakeBatchWorker implements BatchWorker {
  readonly failures: TargetFailure[] = [];

  readonly cancelled: CancelNotice[] = [];

  streams = 0;

  private readonly stopping = new AbortController();

  private tasks: Promise<void>[] = [];

  constructor(private readonly target: TargetAccess) {}

  start(): void {
    this.tasks = Array.from({ length: this.streams }, (_, index) => this.keepRunning(index));
  }

  cancelJob(notice: CancelNotice): void {
    this.cancelled.push(notice);
  }

  async stop(): Promise<void> {
    this.stopping.abort();
    await Promise.all(this.tasks);
  }

  private async keepRunning(index: number): Promise<void> {
    const { signal } = this.stopping;
    while (!signal.aborted) {
      const slot = await this.target.acquireBatchSlot(signal);
      if (!slot) return;
      const messages = [{ role: 'user', content: `batch item ${index}` }];
      const outcome = await this.target.run(
        {
          method: 'POST',
          path: '/v1/chat/completions',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify({ model: MODEL, messages, max_tokens: 1_000_000 }),
        },
        AbortSignal.any([signal, slot.preempted]),
      );
      slot.release();
      if (outcome.isErr()) this.failures.push(outcome.error);
    }
  }
}
