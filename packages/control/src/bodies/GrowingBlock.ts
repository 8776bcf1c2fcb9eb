/** Collects the pieces of a body in one block of memory, as a body of many small pieces would take far more as a list. */

/** Minimum size of a block. Unit: bytes. */
const MIN_BLOCK_BYTES = 2048;

/** Size up to which a block is replaced by one of twice the size; a larger one grows in place by as much. Unit: bytes. */
const STEP_BYTES = 65_536;

/** Array buffer that can be resized, which the library of the compiler's target doesn't declare yet. */
interface ResizableBuffer extends ArrayBuffer {
  resize(bytes: number): void;
}

const ResizableArrayBuffer = ArrayBuffer as unknown as new (
  bytes: number,
  options: { readonly maxByteLength: number },
) => ResizableBuffer;

/** A block that grows with its content. */
export class GrowingBlock {
  private block = Buffer.alloc(0);

  /** Memory of a large block, which is freed without waiting for the garbage collector. */
  private resizable: ResizableBuffer | undefined;

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
    const preferred =
      needed > STEP_BYTES
        ? Math.ceil(needed / STEP_BYTES) * STEP_BYTES
        : Math.max(MIN_BLOCK_BYTES, this.size * 2);
    return Math.max(needed, Math.min(this.maxBytes, preferred));
  }

  /**
   * Adds a piece.
   *
   * @param piece - the bytes
   */
  append(piece: Buffer): void {
    const newSize = this.sizeWith(piece.length);
    if (newSize > this.block.length) this.grow(newSize);
    piece.copy(this.block, this.size);
    this.size += piece.length;
  }

  /**
   * Returns the content and frees the block.
   *
   * @returns the content, in memory of its own
   */
  take(): Buffer<ArrayBuffer> {
    const content = this.block.subarray(0, this.size);
    if (!this.resizable) return content;
    const copy = Buffer.from(content);
    this.free();
    return copy;
  }

  /** Frees the block. */
  free(): void {
    this.block = Buffer.alloc(0);
    this.resizable?.resize(0);
    this.resizable = undefined;
  }

  private grow(newSize: number): void {
    const content = this.block.subarray(0, this.size);
    if (newSize <= STEP_BYTES) {
      this.block = Buffer.allocUnsafe(newSize);
      content.copy(this.block);
      return;
    }
    if (this.resizable) {
      this.resizable.resize(newSize);
      this.block = Buffer.from(this.resizable, 0, newSize);
      return;
    }
    this.resizable = new ResizableArrayBuffer(newSize, { maxByteLength: this.maxBytes });
    this.block = Buffer.from(this.resizable, 0, newSize);
    content.copy(this.block);
  }
}
