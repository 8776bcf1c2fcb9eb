/** Where the answer of a target goes: to a caller, or into the result of a batch item. */

/** Takes the answers of one or more attempts, one after the other. */
export interface ResponseSink {
  /** Whether status and headers are fixed, so that a further answer must be a stream that goes on. */
  readonly started: boolean;

  /** Last event that was taken whole. */
  readonly lastEventId: string | undefined;

  /** Grows with each event that was taken whole, or with each write where events are not told apart. */
  readonly progress: number;

  /** Whether the bytes so far stop inside an event, or events are missing between them. */
  readonly isTruncated: boolean;

  /** Whether nothing more is taken from the present answer: an event was missing, repeated or larger than allowed. */
  readonly isUnusable: boolean;

  /**
   * Takes the head of an answer.
   *
   * @param status - HTTP status
   * @param headers - headers for the caller
   */
  begin(status: number, headers: Record<string, string | string[]>): void;

  /**
   * Takes bytes of an answer.
   *
   * @param chunk - the next bytes
   * @returns whether more can be taken at present
   */
  write(chunk: Buffer): boolean;

  /**
   * Calls back when more can be taken.
   *
   * @param resume - called once
   */
  onceDrained(resume: () => void): void;
}
