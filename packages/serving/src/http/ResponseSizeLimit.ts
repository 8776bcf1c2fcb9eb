/**
 * Limits the bytes that the client processes for one response besides its body: a faulty target may send endless
 * heads, framing or bytes that are no HTTP response.
 */

/**
 * Maximum size of the response head, including informational heads; the same as that of Node.js. The client keeps two
 * buffers for each line. Unit: bytes.
 */
const MAX_HEAD_BYTES = 16_384;

/** Maximum number of informational heads before a response; a target sends one or two. */
const MAX_INFORMATIONAL_HEADS = 8;

/** Maximum framing of a response, regardless of its body size. The client keeps two buffers for each trailer. Unit: bytes. */
const MAX_FIXED_FRAMING_BYTES = 16_384;

/** Maximum framing per byte of the body: a chunk of one byte has five bytes of framing; chunk extensions are rare. */
const MAX_FRAMING_PER_BODY_BYTE = 8;

/** Maximum size of a discarded response body that is still read so that the connection can be reused. Unit: bytes. */
const MAX_DISCARDED_BYTES = 65_536;

/** Size limit of one response. */
export class ResponseSizeLimit {
  private hasHead = false;

  private informationalHeads = 0;

  private bodyBytes = 0;

  /** Maximum body size; set once the response is discarded. Unit: bytes. */
  private bodyLimitBytes = Number.POSITIVE_INFINITY;

  /**
   * Starts counting.
   *
   * @param bytesTakenBefore - bytes that the client had processed before the request. Unit: bytes
   */
  constructor(private readonly bytesTakenBefore: number) {}

  /** Records an informational head. */
  recordInformationalHead(): void {
    this.informationalHeads += 1;
  }

  /** Records the final response head. */
  recordHead(): void {
    this.hasHead = true;
  }

  /**
   * Records a part of the body.
   *
   * @param bytes - size of the part. Unit: bytes
   */
  recordBody(bytes: number): void {
    this.bodyBytes += bytes;
  }

  /** Limits how much more of the body is read, once the response is discarded. */
  discard(): void {
    this.bodyLimitBytes = this.bodyBytes + MAX_DISCARDED_BYTES;
  }

  /**
   * Checks whether the response exceeds its limits.
   *
   * @param bytesTaken - bytes that the client has processed so far. Unit: bytes
   * @returns whether the connection must be closed
   */
  isExceededAt(bytesTaken: number): boolean {
    if (this.bodyBytes > this.bodyLimitBytes) return true;
    if (this.informationalHeads > MAX_INFORMATIONAL_HEADS) return true;
    const received = bytesTaken - this.bytesTakenBefore;
    if (!this.hasHead) return received > MAX_HEAD_BYTES;
    return (
      received >
      MAX_HEAD_BYTES + MAX_FIXED_FRAMING_BYTES + this.bodyBytes * (1 + MAX_FRAMING_PER_BODY_BYTE)
    );
  }
}
