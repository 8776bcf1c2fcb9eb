/**
 * Bounds the bytes that a connection may carry for one answer besides its body: a target in trouble may send heads,
 * framing or bytes that are no answer without end.
 */

/**
 * Bytes up to the end of the head of an answer, informational heads included. A connection is read in parts of this
 * size, so no more has arrived when the head of a sound answer is taken. Unit: bytes.
 */
const MAX_HEAD_BYTES = 65_536;

/** Informational heads before an answer: a target sends one or two. */
const MAX_INFORMATIONAL_HEADS = 8;

/** Framing that an answer may have whatever its body; a host may also have read so much ahead. Unit: bytes. */
const MAX_FIXED_FRAMING_BYTES = 131_072;

/** Framing for each byte of the body: a chunk of one byte has five, and fields of its own are rare. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/** Bytes of an answer that nobody wants which are read so that its connection can be kept. Unit: bytes. */
const MAX_DISCARDED_BYTES = 65_536;

/** The bytes of one answer. */
export class ResponseSizeLimit {
  private hasHead = false;

  private informationalHeads = 0;

  private bodyBytes = 0;

  /** Largest body from now on. Unit: bytes. */
  private bodyLimitBytes = Number.POSITIVE_INFINITY;

  /**
   * Starts to count.
   *
   * @param bytesReadBefore - bytes that the connection had carried before the request. Unit: bytes
   */
  constructor(private readonly bytesReadBefore: number) {}

  /** Takes a head before that of the answer. */
  recordInformationalHead(): void {
    this.informationalHeads += 1;
  }

  /** Takes the head of the answer. */
  recordHead(): void {
    this.hasHead = true;
  }

  /**
   * Takes a part of the body.
   *
   * @param bytes - its length. Unit: bytes
   */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Limits what is still read of a body that nobody wants. */
  discard(): void {
    this.bodyLimitBytes = this.bodyBytes + MAX_DISCARDED_BYTES;
  }

  /**
   * Tells whether the answer has gone beyond its bounds.
   *
   * @param read - bytes that the connection has carried so far. Unit: bytes
   * @returns whether the connection must be closed
   */
  isExceededAt(read: number): boolean {
    if (this.bodyBytes > this.bodyLimitBytes) return true;
    if (this.informationalHeads > MAX_INFORMATIONAL_HEADS) return true;
    const carried = read - this.bytesReadBefore;
    if (!this.hasHead) return carried > MAX_HEAD_BYTES;
    return (
      carried >
      MAX_HEAD_BYTES + MAX_FIXED_FRAMING_BYTES + this.bodyBytes * (1 + MAX_FRAMING_PER_BODY_BYTE)
    );
  }
}
