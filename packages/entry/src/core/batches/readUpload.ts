/** Reads the multipart body of a file upload. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { parseLargeUpload } from './parseLargeUpload.js';
import type { ParsedUpload } from './parseUpload.js';
import { readRequestBody } from './readRequestBody.js';

/** Largest file. Unit: bytes. */
export const MAX_FILE_BYTES = 209_715_200;

/** Room for the other parts of an upload. Unit: bytes. */
const MAX_OTHER_PARTS_BYTES = 65_536;

/** Bytes of all uploads that are in memory at once; one file of the largest size fits. */
const MAX_BUFFERED_UPLOAD_BYTES = MAX_FILE_BYTES + 67_108_864;

/** The only purpose that files serve here. */
const PURPOSE = 'batch';

/** An uploaded file. */
export interface UploadedFile {
  readonly purpose: string;
  readonly filename: string;
  readonly content: Uint8Array;
}

/** Bytes of uploads that are in memory. */
export class UploadMemoryBudget {
  private used = 0;

  /**
   * Reserves memory.
   *
   * @param bytes - how much
   * @returns whether there was room
   */
  reserve(bytes: number): boolean {
    if (this.used + bytes > MAX_BUFFERED_UPLOAD_BYTES) return false;
    this.used += bytes;
    return true;
  }

  /**
   * Gives memory back.
   *
   * @param bytes - how much
   */
  release(bytes: number): void {
    this.used -= bytes;
  }
}

const checkUpload = ({ purpose, file }: ParsedUpload): Result<UploadedFile, Refusal> => {
  if (purpose !== PURPOSE) {
    return err(refuse('body-invalid', { detail: `purpose: must be "${PURPOSE}"` }));
  }
  if (!file) return err(refuse('body-invalid', { detail: 'file: missing' }));
  if (file.content.byteLength > MAX_FILE_BYTES) return err(refuse('body-too-large'));
  return ok({ purpose, filename: file.name, content: file.content });
};

/**
 * Reads a file upload and hands it on while its memory is reserved.
 *
 * @param request - the request
 * @param budget - memory for uploads
 * @param use - what to do with the file
 * @returns what `use` returned, or why the upload is refused
 */
export const withUpload = async <Value>(
  request: IncomingMessage,
  budget: UploadMemoryBudget,
  use: (file: UploadedFile) => Promise<Result<Value, Refusal>>,
): Promise<Result<Value, Refusal>> => {
  let reserved = 0;
  const admit = (bytes: number): boolean => {
    if (!budget.reserve(bytes)) return false;
    reserved += bytes;
    return true;
  };
  try {
    const body = await readRequestBody(request, MAX_FILE_BYTES + MAX_OTHER_PARTS_BYTES, admit);
    if (body.isErr()) return err(body.error);
    const parsed = await parseLargeUpload(body.value, request.headers['content-type'] ?? '');
    if (!parsed) return err(refuse('body-invalid', { detail: 'not multipart/form-data' }));
    const file = checkUpload(parsed);
    return file.isOk() ? await use(file.value) : err(file.error);
  } finally {
    budget.release(reserved);
  }
};
