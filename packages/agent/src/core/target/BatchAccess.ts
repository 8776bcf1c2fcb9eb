/** Access to the target for batch work. */
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { TargetSlots } from '../admission/TargetSlots.js';
import type {
  BatchSlot,
  TargetAccess,
  TargetAnswer,
  TargetFailure,
  TargetRequest,
} from '../TargetAccess.js';
import type { CrashWatch } from './CrashWatch.js';
import { FinalEvent } from './FinalEvent.js';
import { headersToCaller, headersToTarget } from './forwardedHeaders.js';
import { isFramed, readWhole } from './readWhole.js';
import type { ServedModels } from './ServedModels.js';
import type { OpenAnswer, TargetCall, TargetClient } from './TargetClient.js';

const isEventStream = ({ headers }: OpenAnswer): boolean =>
  String(headers['content-type']).startsWith('text/event-stream');

const hasFinalEvent = (bytes: Buffer): boolean => {
  const finalEvent = new FinalEvent();
  finalEvent.feed(bytes);
  return finalEvent.isComplete();
};

const flatten = (headers: Record<string, string | string[]>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]));

/** Access to the target for batch work. */
export class BatchAccess implements TargetAccess {
  constructor(
    private readonly slots: TargetSlots,
    private readonly client: TargetClient,
    private readonly crashWatch: CrashWatch,
    private readonly served: ServedModels,
  ) {}

  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.slots.acquireBatch(signal);
  }

  acquireAlone(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.slots.acquireAlone(signal);
  }

  hasSpareCapacity(): boolean {
    return this.slots.hasBatchRoom();
  }

  models(): readonly string[] {
    return this.served.inService();
  }

  async run(
    request: TargetRequest,
    signal: AbortSignal,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const unloaded = this.served.refusal(Buffer.from(request.body));
    if (unloaded) return err({ kind: 'not-sent', message: unloaded.detail ?? unloaded.code });
    const inFlight = { suspect: false, canTell: () => true };
    const { method, path, body } = request;
    const headers = headersToTarget(request.headers);
    const call = { id: randomUUID(), method, path, headers, body, signal, inFlight };
    this.crashWatch.enter(inFlight);
    try {
      const opened = await this.client.send(call);
      if (opened.isErr()) return err(opened.error);
      return await this.readAnswer(call, opened.value);
    } finally {
      this.crashWatch.leave(inFlight);
    }
  }

  private async readAnswer(
    call: TargetCall,
    answer: OpenAnswer,
  ): Promise<Result<TargetAnswer, TargetFailure>> {
    const { status, headers } = answer;
    try {
      const unloaded = await this.served.explainStatus(status, Buffer.from(call.body));
      if (unloaded) {
        answer.body.on('error', () => undefined).destroy();
        return err({ kind: 'not-sent', message: unloaded.detail ?? unloaded.code });
      }
      const { bytes, isWhole } = await readWhole(answer);
      const isComplete = isEventStream(answer) ? hasFinalEvent(bytes) : isFramed(status, headers);
      if (!isWhole) answer.body.on('error', () => undefined).destroy();
      if (!isWhole || !isComplete) {
        return err({
          kind: 'failed',
          message: isWhole ? 'the answer was cut' : 'answer too large',
        });
      }
      return ok({
        status,
        headers: flatten(headersToCaller(headers)),
        body: bytes.toString('utf8'),
      });
    } catch (fault) {
      return err(await this.client.explain(fault, call));
    }
  }
}
