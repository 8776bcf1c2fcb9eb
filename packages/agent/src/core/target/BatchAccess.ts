/** Access to the target for batch work. */
import { randomUUID } from 'node:crypto';
import { err, ok, type Result } from 'neverthrow';
import type { TargetSlots } from '../admission/TargetSlots.js';
import type {
  BatchSlot,
  TargetAccess,
  TargetResponse,
  TargetFailure,
  TargetRequest,
} from '../TargetAccess.js';
import type { CrashDetector } from './CrashDetector.js';
import { FinalEventDetector } from './FinalEventDetector.js';
import { filterRequestHeaders, filterResponseHeaders } from './forwardedHeaders.js';
import { isFramed, bufferBody } from './bufferBody.js';
import type { ServedModels } from './ServedModels.js';
import type { OpenResponse, TargetCall, TargetClient } from './TargetClient.js';

const isEventStream = ({ headers }: OpenResponse): boolean =>
  String(headers['content-type']).startsWith('text/event-stream');

const hasFinalEvent = (bytes: Buffer): boolean => {
  const finalEvent = new FinalEventDetector();
  finalEvent.feed(bytes);
  return finalEvent.isComplete();
};

const flattenHeaders = (headers: Record<string, string | string[]>): Record<string, string> =>
  Object.fromEntries(Object.entries(headers).map(([name, value]) => [name, String(value)]));

/** Access to the target for batch work. */
export class BatchAccess implements TargetAccess {
  constructor(
    private readonly slots: TargetSlots,
    private readonly client: TargetClient,
    private readonly crashDetector: CrashDetector,
    private readonly servedModels: ServedModels,
  ) {}

  acquireBatchSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.slots.acquireBatchSlot(signal);
  }

  acquireExclusiveSlot(signal: AbortSignal): Promise<BatchSlot | undefined> {
    return this.slots.acquireExclusiveSlot(signal);
  }

  hasSpareCapacity(): boolean {
    return this.slots.hasFreeBatchSlot();
  }

  listModels(): readonly string[] {
    return this.servedModels.listInService();
  }

  async run(
    request: TargetRequest,
    signal: AbortSignal,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const unloaded = this.servedModels.checkModel(Buffer.from(request.body));
    if (unloaded) return err({ kind: 'not-sent', message: unloaded.detail ?? unloaded.code });
    const inFlight = { suspect: false, canReportCrash: () => true };
    const { method, path, body } = request;
    const headers = filterRequestHeaders(request.headers);
    const call = { id: randomUUID(), method, path, headers, body, signal, inFlight };
    this.crashDetector.add(inFlight);
    try {
      const opened = await this.client.send(call);
      if (opened.isErr()) return err(opened.error);
      return await this.readResponse(call, opened.value);
    } finally {
      this.crashDetector.remove(inFlight);
    }
  }

  private async readResponse(
    call: TargetCall,
    response: OpenResponse,
  ): Promise<Result<TargetResponse, TargetFailure>> {
    const { status, headers } = response;
    try {
      const unloaded = await this.servedModels.checkNotFound(status, Buffer.from(call.body));
      if (unloaded) {
        response.body.on('error', () => undefined).destroy();
        return err({ kind: 'not-sent', message: unloaded.detail ?? unloaded.code });
      }
      const { bytes, isComplete: fitsInMemory } = await bufferBody(response);
      const isComplete = isEventStream(response) ? hasFinalEvent(bytes) : isFramed(status, headers);
      if (!fitsInMemory) response.body.on('error', () => undefined).destroy();
      if (!fitsInMemory || !isComplete) {
        return err({
          kind: 'failed',
          message: fitsInMemory ? 'the response was truncated' : 'the response is too large',
        });
      }
      return ok({
        status,
        headers: flattenHeaders(filterResponseHeaders(headers)),
        body: bytes.toString('utf8'),
      });
    } catch (fault) {
      return err(await this.client.classifyError(fault, call));
    }
  }
}
