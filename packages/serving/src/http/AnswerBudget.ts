/**
 * Bounds the bytes that a connection may carry for one answer besides its body: a target in trouble may send heads,
 * framing or bytes that are no answer without end.
 */

/**
 * Bytes up to the end of the head of an answer, informational heads included. A connection is read in parts of this
 * size, so no more has arrived when the head of a sound answer is taken. Unit: bytes.
 */
const HEAD_BYTES = 65_536;

/** Informational heads before an answer: a target sends one or two. */
const MOST_INFORMATIONAL_HEADS = 8;

/** Framing that an answer may have whatever its body; a host may also have read so much ahead. Unit: bytes. */
const FRAMING_BYTES = 131_072;

/** Framing for each byte of the body: a chunk of one byte has five, and fields of its own are rare. */
const FRAMING_PER_BODY_BYTE = 8;

/** Bytes of an answer that nobody wants which are read so that its connection can be kept. Unit: bytes. */
const DISCARDED_BYTES = 65_536;

/** The bytes of one answer. */
export class AnswerBudget {
  private hasHead = false;

  private informationalHeads = 0;

  private body = 0;

  /** Largest body from now on. Unit: bytes. */
  private bodyLimit = Number.POSITIVE_INFINITY;

  /**
   * Starts to count.
   *
   * @param readBefore - bytes that the connection had carried before the request. Unit: bytes
   */
  constructor(private readonly readBefore: number) {}

  /** Takes a head before that of the answer. */
  takeInformationalHead(): void {
    this.informationalHeads += 1;
  }

  /** Takes the head of the answer. */
  takeHead(): void {
    this.hasHead = true;
  }

  /**
   * Takes a part of the body.
   *
   * @param bytes - its length. Unit: bytes
   */
  takeBody(bytes: number): void {
    this.body += bytes;
  }

  /** Limits what is still read of a body that nobody wants. */
  discard(): void {
    this.bodyLimit = this.body + DISCARDED_BYTES;
  }

  /**
   * Tells whether the answer has gone beyond its bounds.
   *
   * @param read - bytes that the connection has carried so far. Unit: bytes
   * @returns whether the connection must be closed
   */
  isExceededAt(read: number): boolean {
    if (this.body > this.bodyLimit) return true;
    if (this.informationalHeads > MOST_INFORMATIONAL_HEADS) return true;
    const carried = read - this.readBefore;
    if (!this.hasHead) return carried > HEAD_BYTES;
    return carried > HEAD_BYTES + FRAMING_BYTES + this.body * (1 + FRAMING_PER_BODY_BYTE);
  }
}
