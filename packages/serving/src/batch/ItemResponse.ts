/** The output of a batch item, assembled from the responses to one or more runs. */
import type { ResponseSink } from '../online/ResponseSink.js';
import { EventSequence } from '../online/EventSequence.js';
import { readData, type EventLineCheck } from '../online/EventSplitter.js';
import type { ItemOutput } from './JobRecord.js';

/** Maximum output of an item, which has to fit in one page of results. Unit: characters. */
export const MAX_OUTPUT_LENGTH = 1_048_576;

const callImmediately = (resume: () => void): void => resume();

/** The targets that produced an output: only they can continue it. */
export interface ItemOrigin {
  readonly service: string;
  readonly version: string;
}

/** Where a run can resume. */
interface ResumePoint {
  /** Undefined at the start. */
  readonly lastEventId: string | undefined;
  readonly eventCount: number;
}

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

  /** Where a run can resume to repeat the last event; undefined if there is none, or it is unknown. */
  private beforeLastEvent: ResumePoint | undefined;

  /** Targets that produce the output; undefined before the first run. */
  origin: ItemOrigin | undefined;

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

  /**
   * Checks whether the current run has continued the output.
   *
   * @returns whether its response has an event
   */
  get hasNewEvents(): boolean {
    return !this.events.isResponseEmpty;
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
    const { lastEventId, resumableEventCount, origin } = this;
    if (lastEventId === undefined) return undefined;
    return { lastEventId, data: this.eventData.slice(0, resumableEventCount), ...origin };
  }

  /**
   * Returns the targets that can continue the output.
   *
   * @returns their service and version; undefined if the next run starts from the beginning
   */
  get outputOrigin(): ItemOrigin | undefined {
    return this.lastEventId === undefined ? undefined : this.origin;
  }

  /**
   * Restores the output that another host has saved.
   *
   * @param output - output up to an event with an id
   * @param origin - targets that produced it
   */
  resume({ lastEventId, data }: ItemOutput, origin: ItemOrigin): void {
    this.events.lastEventId = lastEventId;
    this.origin = origin;
    this.truncate(0);
    data.forEach((each) => this.append(each));
    this.resumableEventCount = this.eventCount;
    // Unless ids count the events from 1, some events may have no data.
    const eventCount = this.eventCount - 1;
    this.beforeLastEvent =
      Number(lastEventId) === this.eventCount && eventCount > 0
        ? { lastEventId: String(eventCount), eventCount }
        : undefined;
  }

  /**
   * Removes the last event, so that the next run has to repeat it. An event that was removed already is not removed again.
   *
   * @returns whether the next run can resume before the event
   */
  removeLastEvent(): boolean {
    if (!this.beforeLastEvent) return false;
    const { lastEventId, eventCount } = this.beforeLastEvent;
    this.events.lastEventId = lastEventId;
    this.truncate(eventCount);
    this.resumableEventCount = eventCount;
    return true;
  }

  /**
   * Checks whether the output is shorter than what targets have sent.
   *
   * @returns whether an event was removed and not repeated yet
   */
  get lacksRemovedEvent(): boolean {
    return (
      this.beforeLastEvent !== undefined && this.beforeLastEvent.lastEventId === this.lastEventId
    );
  }

  /** Starts the response to the next run, which repeats all events after the last one with an id. */
  begin(
    status: number,
    _headers: Record<string, string | string[]>,
    isCloseDelimited: boolean,
    _version: string,
    acceptsEventLine?: EventLineCheck,
  ): void {
    this.isCollecting = status === 200;
    this.isCloseDelimited = isCloseDelimited;
    if (this.isCollecting) this.truncate(this.resumableEventCount);
    this.events.beginResponse(acceptsEventLine);
  }

  write(chunk: Buffer): boolean {
    if (!this.isCollecting) return true;
    let { lastEventId } = this;
    this.events.push(chunk).forEach((event) => {
      const data = readData(event);
      if (data !== undefined) this.append(data);
      if (event.id === undefined) return;
      this.beforeLastEvent = { lastEventId, eventCount: this.resumableEventCount };
      this.resumableEventCount = this.eventCount;
      lastEventId = event.id;
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
