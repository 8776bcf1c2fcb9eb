/** The output of a batch item, put together from the answers of one or more runs. */
import type { AnswerSink } from '../online/AnswerSink.js';
import { EventSequence } from '../online/EventSequence.js';
import { dataOf } from '../online/EventSplitter.js';
import type { ItemOutput } from './JobRecord.js';

const callNow = (resume: () => void): void => resume();

/** Collects the output of an item. */
export class ItemAnswer implements AnswerSink {
  /** A run of an item may answer with any status; only streams count as output. */
  readonly started = false;

  /** Never called, as every write can be taken. */
  readonly onceDrained: AnswerSink['onceDrained'] = callNow;

  private readonly events = new EventSequence();

  private readonly data: string[] = [];

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
    const { lastEventId } = this;
    return lastEventId === undefined ? undefined : { lastEventId, data: [...this.data] };
  }

  /**
   * Goes on from the output of another host.
   *
   * @param output - output up to an event
   */
  resume({ lastEventId, data }: ItemOutput): void {
    this.events.lastEventId = lastEventId;
    this.data.splice(0, this.data.length, ...data);
  }

  begin(status: number): void {
    this.collects = status === 200;
    this.events.beginAnswer();
  }

  write(chunk: Buffer): boolean {
    if (!this.collects) return true;
    this.events.push(chunk).forEach((event) => {
      const data = dataOf(event);
      if (data !== undefined) this.data.push(data);
    });
    return true;
  }
}
