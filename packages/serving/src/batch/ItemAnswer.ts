/** The output of a batch item, put together from the answers of one or more runs. */
import type { AnswerSink } from '../online/AnswerSink.js';
import { EventSequence } from '../online/EventSequence.js';

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

  begin(status: number): void {
    this.collects = status === 200;
    this.events.beginAnswer();
  }

  write(chunk: Buffer): boolean {
    if (!this.collects) return true;
    this.events.push(chunk).forEach(({ data }) => {
      if (data !== undefined) this.data.push(data);
    });
    return true;
  }
}
