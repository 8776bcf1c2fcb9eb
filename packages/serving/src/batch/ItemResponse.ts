/** The output of a batch item, assembled from the responses to one or more runs. */
import type { ResponseSink } from '../online/ResponseSink.js';
import { EventSequence } from '../online/EventSequence.js';
import { readData, type EventLineCheck } from '../online/EventSplitter.js';
import type { ItemOutput } from './JobRecord.js';

/** Maximum output of an item, which has to fit in one page of results. Unit: characters. */
export const MAX_OUTPUT_LENGTH = 1_048_576;

const callImmediately = (resume: () => void): void => resume();

/** Collects the events of an item's runs. */
export class ItemResponse implements ResponseSink {
  /** Always false, as a run may return any status; only streams with status 200 count as output. */
  readonly isContinuation = false;

  readonly expectsEvents = true;

  /** Never called, as every write is accepted. */
  readonly onceDrained: ResponseSink['onceDrained'] = callImmediately;

  private readonly events = new EventSequence();

  private readonly eventData: string[] = [];

  /** Number of events up to the last one after which another run can resume. */
  resumableEventCount = 0;

  /** Version of the targets that produce the output; undefined before the first run. */
  version: string | undefined;

  /** Unit: characters. */
  private outputLength = 0;

  private isCollecting = false;

  private isCloseDelimited = false;

  get lastEventId(): string | undefined {
    return this.events.lastEventId;
  }

  get progress(): number {
    return this.events.count;
  }

  get isTruncated(): boolean {
    if (!this.isCollecting) return false;
    return (
      this.events.isTruncated ||
      (this.eventCount === 0 && (this.isCloseDelimited || this.lastEventId === undefined))
    );
  }

  get isUnusable(): boolean {
    return this.isCollecting && (this.events.isUnusable || this.isTooLarge);
  }

  /**
   * Checks whether the output exceeds the maximum size of a result.
   *
   * @returns whether a target has sent data that can't be the item's output
   */
  get isTooLarge(): boolean {
    return this.outputLength > MAX_OUTPUT_LENGTH;
  }

  /**
   * Returns the output received so far.
   *
   * @returns the data of all events in order, separated by line feeds
   */
  get text(): string {
    return this.eventData.join('\n');
  }

  /**
   * Returns the number of events received so far.
   *
   * @returns number of events
   */
  get eventCount(): number {
    return this.eventData.length;
  }

  /**
   * Returns the resumable part of the output, which is stored for other hosts.
   *
   * @returns the output; nothing while no event has an id after which a run can resume
   */
  get resumableOutput(): ItemOutput | undefined {
    const { lastEventId, resumableEventCount, version } = this;
    if (lastEventId === undefined) return undefined;
    return { lastEventId, data: this.eventData.slice(0, resumableEventCount), version };
  }

  /**
   * Restores the output that another host has saved.
   *
   * @param output - output up to an event with an id
   */
  resume({ lastEventId, data, version }: ItemOutput): void {
    this.events.lastEventId = lastEventId;
    this.version = version;
    this.truncate(0);
    data.forEach((each) => this.append(each));
    this.resumableEventCount = this.eventCount;
  }

  /** Starts the response to the next run, which repeats all events after the last one with an id. */
  begin(
    status: number,
    _headers: Record<string, string | string[]>,
    isCloseDelimited: boolean,
    acceptsEventLine?: EventLineCheck,
  ): void {
    this.isCollecting = status === 200;
    this.isCloseDelimited = isCloseDelimited;
    if (this.isCollecting) this.truncate(this.resumableEventCount);
    this.events.beginResponse(acceptsEventLine);
  }

  write(chunk: Buffer): boolean {
    if (!this.isCollecting) return true;
    this.events.push(chunk).forEach((event) => {
      const data = readData(event);
      if (data !== undefined) this.append(data);
      if (event.id !== undefined) this.resumableEventCount = this.eventCount;
    });
    return true;
  }

  private append(data: string): void {
    this.eventData.push(data);
    this.outputLength += data.length;
  }

  private truncate(eventCount: number): void {
    this.eventData.splice(eventCount).forEach((data) => {
      this.outputLength -= data.length;
    });
  }
}
