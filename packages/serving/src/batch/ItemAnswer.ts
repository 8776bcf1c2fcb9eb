/** The output of a batch item, put together from the answers of one or more runs. */
import type { AnswerSink } from '../online/AnswerSink.js';
import { EventSequence } from '../online/EventSequence.js';
import { dataOf } from '../online/EventSplitter.js';
import type { ItemOutput } from './JobRecord.js';

/** Largest output of an item: what one page of results can hold. Unit: characters. */
export const LARGEST_OUTPUT = 1_048_576;

const callNow = (resume: () => void): void => resume();

/** Collects the output of an item. */
export class ItemAnswer implements AnswerSink {
  /** A run of an item may answer with any status; only streams count as output. */
  readonly started = false;

  /** Never called, as every write can be taken. */
  readonly onceDrained: AnswerSink['onceDrained'] = callNow;

  private readonly events = new EventSequence();

  private readonly data: string[] = [];

  /** Number of events up to the last one after which a further run can go on. */
  resumableSize = 0;

  /** Unit: characters. */
  private length = 0;

  private collects = false;

  get lastEventId(): string | undefined {
    return this.events.lastEventId;
  }

  get progress(): number {
    return this.events.count;
  }

  get isTorn(): boolean {
    return this.collects && this.events.isTorn;
  }

  get isUnusable(): boolean {
    return this.collects && (this.events.isUnusable || this.isTooLarge);
  }

  /**
   * Tells whether the output is larger than any result may be.
   *
   * @returns whether a target has sent what cannot be the item's output
   */
  get isTooLarge(): boolean {
    return this.length > LARGEST_OUTPUT;
  }

  /**
   * Gives the output so far.
   *
   * @returns the data of all events in order, separated by line feeds
   */
  get text(): string {
    return this.data.join('\n');
  }

  /**
   * Counts the events so far.
   *
   * @returns number of events
   */
  get size(): number {
    return this.data.length;
  }

  /**
   * Gives the output so far in the form that is kept for other hosts.
   *
   * @returns the output; nothing while no event has an id after which a run could go on
   */
  get output(): ItemOutput | undefined {
    const { lastEventId, resumableSize } = this;
    if (lastEventId === undefined) return undefined;
    return { lastEventId, data: this.data.slice(0, resumableSize) };
  }

  /**
   * Goes on from the output of another host.
   *
   * @param output - output up to an event
   */
  resume({ lastEventId, data }: ItemOutput): void {
    this.events.lastEventId = lastEventId;
    this.keep(0);
    data.forEach((each) => this.add(each));
    this.resumableSize = this.size;
  }

  /** Starts the next run, which repeats what came after the last event with an id. */
  begin(status: number): void {
    this.collects = status === 200;
    if (this.collects) this.keep(this.resumableSize);
    this.events.beginAnswer();
  }

  write(chunk: Buffer): boolean {
    if (!this.collects) return true;
    this.events.push(chunk).forEach((event) => {
      const data = dataOf(event);
      if (data !== undefined) this.add(data);
      if (event.id !== undefined) this.resumableSize = this.size;
    });
    return true;
  }

  private add(data: string): void {
    this.data.push(data);
    this.length += data.length;
  }

  private keep(size: number): void {
    this.data.splice(size).forEach((data) => {
      this.length -= data.length;
    });
  }
}
