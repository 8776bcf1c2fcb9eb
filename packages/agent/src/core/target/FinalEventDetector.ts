/** Finds the final event of an SSE stream of an engine. */

/** Enough of the end of the stream to hold the final event whole. Unit: bytes. */
const TAIL_BYTES = 32;

const FINAL_EVENT = /\ndata: ?\[DONE\]\r?\n/;

const UNTERMINATED_FINAL_EVENT = /\ndata: ?\[DONE\]$/;

/** Watches a stream for `data: [DONE]`, across the borders of chunks. */
export class FinalEventDetector {
  // The start of a stream is the start of a line.
  private tail = '\n';

  private seen = false;

  /**
   * Looks at the next chunk.
   *
   * @param chunk - bytes of the stream
   * @returns whether the final event has been seen
   */
  feed(chunk: Buffer): boolean {
    const text = this.tail + chunk.toString('latin1');
    this.seen ||= FINAL_EVENT.test(text);
    this.tail = text.slice(-TAIL_BYTES);
    return this.seen;
  }

  /**
   * Tells whether a stream whose transfer ended cleanly is complete.
   *
   * @returns whether the final event came, with or without the end of its line
   */
  isComplete(): boolean {
    return this.seen || UNTERMINATED_FINAL_EVENT.test(this.tail);
  }
}
