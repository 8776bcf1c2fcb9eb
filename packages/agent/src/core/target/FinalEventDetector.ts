/** Detects the final event in the SSE stream of an engine. */

/** Length of the end of the stream that is kept; holds a complete final event. Unit: bytes. */
const TAIL_BYTES = 32;

const FINAL_EVENT = /\ndata: ?\[DONE\]\r?\n/;

const UNTERMINATED_FINAL_EVENT = /\ndata: ?\[DONE\]$/;

/** Searches a stream for `data: [DONE]`, even if it spans several chunks. */
export class FinalEventDetector {
  // The line break lets an event at the very start of the stream match.
  private tail = '\n';

  private seen = false;

  /**
   * Processes the next chunk.
   *
   * @param chunk - bytes of the stream
   * @returns whether the final event has been received
   */
  feed(chunk: Buffer): boolean {
    const text = this.tail + chunk.toString('latin1');
    this.seen ||= FINAL_EVENT.test(text);
    this.tail = text.slice(-TAIL_BYTES);
    return this.seen;
  }

  /**
   * Checks whether a stream whose transfer ended cleanly is complete.
   *
   * @returns whether the final event was received, with or without its line break
   */
  isComplete(): boolean {
    return this.seen || UNTERMINATED_FINAL_EVENT.test(this.tail);
  }
}
