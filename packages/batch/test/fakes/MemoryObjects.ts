/** Object store in memory. */
import { Readable } from 'node:stream';
import type { ByteRange, ObjectFailure, ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { errAsync, okAsync, type ResultAsync } from 'neverthrow';

const PIECE_BYTES = 65_536;

export class MemoryObjects implements ObjectStore {
  readonly contents = new Map<string, Buffer>();

  down = false;

  put(name: string, body: Uint8Array | string): ResultAsync<void, ObjectFailure> {
    if (this.down) return errAsync({ kind: 'unavailable', message: 'objects are down' });
    this.contents.set(name, Buffer.from(body));
    return okAsync(undefined);
  }

  get(name: string, range?: ByteRange): ResultAsync<Buffer, ObjectFailure> {
    if (this.down) return errAsync({ kind: 'unavailable', message: 'objects are down' });
    const content = this.contents.get(name);
    if (!content) return errAsync({ kind: 'absent' });
    return okAsync(range ? content.subarray(range.first, range.last + 1) : content);
  }

  open(name: string): ResultAsync<Readable, ObjectFailure> {
    return this.get(name).map((content) => {
      const pieces = Array.from({ length: Math.ceil(content.length / PIECE_BYTES) }, (_, index) =>
        content.subarray(index * PIECE_BYTES, (index + 1) * PIECE_BYTES),
      );
      return Readable.from(pieces);
    });
  }

  remove(name: string): ResultAsync<void, ObjectFailure> {
    this.contents.delete(name);
    return okAsync(undefined);
  }

  close(): void {
    this.down = true;
  }
}
