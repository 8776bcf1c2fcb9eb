/** The output of a batch item, put together from the answers of one or more runs. */
import type { ResponseSink } from '../online/ResponseSink.js';
import { EventSequence } from '../online/EventSequence.js';
import { readData } from '../online/EventSplitter.js';
import type { ItemOutput } from './JobRecord.js';

/** Largest output of an item: what one page of results can hold. Unit: characters. */
export const MAX_OUTPUT_LENGTH = 1_048_576;

const callImmediately = (resume: () => void): void => resume();

/** Collects the output of an item. */
export class ItemResponse implements ResponseSink {
  /** A run of an item may answer with any status; only streams count as output. */
  readonly started = false;

  /** Never called, as every write can be taken. */
  readonly onceDrained: ResponseSink['onceDrained'] = callImmediately;

  private readonly events = new EventSequence();

  private readonly eventData: string[] = [];

  /** Number of events up to the last one after which a further run can go on. */
  resumableEventCount = 0;

  /** Unit: characters. */
  private outputLength = 0;

  private isCollecting = false;

  get lastEventId(): string | undefined {
    return this.events.lastEventId;
  }

  get progress(): number {
    return this.events.count;
  }

  get isTruncated(): boolean {
    return this.isCollecting && this.events.isTruncated;
  }

  get isUnusable(): boolean {
    return this.isCollecting && (this.events.isUnusable || this.isTooLarge);
  }

  /**
   * Tells whether the output is larger than any result may be.
   *
   * @returns whether a target has sent what cannot be the item's output
   */
  get isTooLarge(): boolean {
    return this.outputLength > MAX_OUTPUT_LENGTH;
  }

  /**
   * Gives the output so far.
   *
   * @returns the data of all events in order, separated by line feeds
   */
  get text(): string {
    return this.eventData.join('\n');
  }

  /**
   * Counts the events so far.
   *
   * @returns number of events
   */
  get eventCount(): number {
    return this.eventData.length;
  }

  /**
   * Gives the output so far in the form that is kept for other hosts.
   *
   * @returns the output; nothing while no event has an id after which a run could go on
   */
  get resumableOutput(): ItemOutput | undefined {
    const { lastEventId, resumableEventCount: resumableSize } = this;
    if (lastEventId === undefined) return undefined;
    return { lastEventId, data: this.eventData.slice(0, resumableSize) };
  }

  /**
   * Goes on from the output of another host.
   *
   * @param output - output up to an event
   */
  resume({ lastEventId, data }: ItemOutput): void {
    this.events.lastEventId = lastEventId;
    this.truncate(0);
    data.forEach((each) => this.append(each));
    this.resumableEventCount = this.eventCount;
  }

  /** Starts the next run, which repeats what came after the last event with an id. */
  begin(status: number): void {
    this.isCollecting = status === 200;
    if (this.isCollecting) this.truncate(this.resumableEventCount);
    this.events.beginResponse();
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

  private truncate(size: number): void {
    this.eventData.splice(size).forEach((data) => {
      this.outputLength -= data.length;
    });
  }
}
