/** What the callers of a crowd send, by name. */

/** Maximum size of a body in the tests; the default of hosts. Unit: bytes. */
const BODY_LIMIT_BYTES = 4_194_304;

/** Size of a piece that is sent at once. Unit: bytes. */
const PIECE_BYTES = 65_536;

/** Pause between the pieces of slow bodies. Unit: ms. */
const PIECE_PAUSE_MS = 10;

/** Number of chunks of one byte that are sent at once. */
const CHUNKS_PER_PIECE = 2048;

/** What one caller sends on a connection. */
export interface CrowdForm {
  /** Request line and fields after those of all callers, including the empty line; undefined to send nothing at all. */
  readonly head: readonly string[] | undefined;
  /** Sent over and over. */
  readonly piece: Buffer;
  /** How many bytes of pieces are sent; afterwards the connection stays open. Unit: bytes. */
  readonly totalBytes: number;
  readonly pauseMs?: number;
}

const piece = Buffer.alloc(PIECE_BYTES, 'x');

const withLength = (announcedBytes: number, totalBytes: number, pauseMs?: number): CrowdForm => ({
  head: [`content-length: ${announcedBytes}`, '', ''],
  piece,
  totalBytes,
  ...(pauseMs !== undefined && { pauseMs }),
});

const inChunks = (chunk: Buffer, chunks: number): CrowdForm => ({
  head: ['transfer-encoding: chunked', '', ''],
  piece: chunk,
  totalBytes: chunk.length * chunks,
});

const largeChunk = Buffer.concat([
  Buffer.from(`${PIECE_BYTES.toString(16)}\r\n`),
  piece,
  Buffer.from('\r\n'),
]);

/** Forms by name. */
export const crowdForms: Readonly<Record<string, CrowdForm>> = {
  'whole bodies': withLength(BODY_LIMIT_BYTES, BODY_LIMIT_BYTES),
  'bodies one byte short': withLength(BODY_LIMIT_BYTES, BODY_LIMIT_BYTES - 1),
  'bodies one byte short in pieces': withLength(
    BODY_LIMIT_BYTES,
    BODY_LIMIT_BYTES - 1,
    PIECE_PAUSE_MS,
  ),
  'large chunks without end': inChunks(largeChunk, BODY_LIMIT_BYTES / PIECE_BYTES - 1),
  'chunks of one byte without end': inChunks(
    Buffer.from('1\r\nx\r\n'.repeat(CHUNKS_PER_PIECE)),
    32,
  ),
  'bodies announced far over the limit': withLength(1_000_000_000, 1_000_000),
  'bodies announced and sent far over the limit': withLength(128_000_000, 32_000_000),
  'chunks far over the limit': inChunks(largeChunk, 512),
  'heads without end': { head: [`x-filler: ${'x'.repeat(15_000)}`], piece, totalBytes: 0 },
  nothing: { head: undefined, piece, totalBytes: 0 },
};
