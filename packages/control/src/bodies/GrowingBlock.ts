/** Collects the pieces of a body in one block of memory, as a body of many small pieces would take far more as a list. */

/** Minimum size of a block. Unit: bytes. */
const MIN_BLOCK_BYTES = 2048;

/** A block that grows with its content. */
export class GrowingBlock {
  private block = Buffer.alloc(0);

  /** Size of the content. Unit: bytes. */
  size = 0;

  /**
   * Creates an empty block.
   *
   * @param maxBytes - maximum size of the content. Unit: bytes
   */
  constructor(private readonly maxBytes: number) {}

  /**
   * Returns the memory that the block takes once a piece is added.
   *
   * @param pieceBytes - size of the piece. Unit: bytes
   * @returns size of the block. Unit: bytes
   */
  sizeWith(pieceBytes: number): number {
    const needed = this.size + pieceBytes;
    if (needed <= this.block.length) return this.block.length;
    return Math.max(needed, Math.min(this.maxBytes, Math.max(MIN_BLOCK_BYTES, this.size * 2)));
  }

  /**
   * Adds a piece.
   *
   * @param piece - the bytes
   */
  append(piece: Buffer): void {
    const newSize = this.sizeWith(piece.length);
    if (newSize > this.block.length) {
      const block = Buffer.allocUnsafe(newSize);
      this.block.copy(block, 0, 0, this.size);
      this.block = block;
    }
    piece.copy(this.block, this.size);
    this.size += piece.length;
  }

  /**
   * Returns the content.
   *
   * @returns the bytes, which share the memory of the block
   */
  getContent(): Buffer {
    return this.block.subarray(0, this.size);
  }
}
