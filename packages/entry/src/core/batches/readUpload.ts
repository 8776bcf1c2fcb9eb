/** Reads the multipart body of a file upload. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { parseLargeUpload } from './parseLargeUpload.js';
import type { ParsedUpload } from './parseUpload.js';
import { readRequestBody } from './readRequestBody.js';

/** Maximum size of a file. Unit: bytes. */
export const MAX_FILE_BYTES = 209_715_200;

/** Maximum size of the other parts of an upload. Unit: bytes. */
const MAX_OTHER_PARTS_BYTES = 65_536;

/** Maximum bytes of uploads in memory at once; a file of maximum size fits. */
const MAX_BUFFERED_UPLOAD_BYTES = MAX_FILE_BYTES + 67_108_864;

/** The only supported purpose of a file. */
const PURPOSE = 'batch';

/** An uploaded file. */
export interface UploadedFile {
  readonly purpose: string;
  readonly filename: string;
  readonly content: Uint8Array;
}

/** Memory budget for uploads. */
export class UploadMemoryBudget {
  private used = 0;

  /**
   * Reserves memory.
   *
   * @param bytes - number of bytes
   * @returns whether the budget was sufficient
   */
  reserve(bytes: number): boolean {
    if (this.used + bytes > MAX_BUFFERED_UPLOAD_BYTES) return false;
    this.used += bytes;
    return true;
  }

  /**
   * Releases reserved memory.
   *
   * @param bytes - number of bytes
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
 * Reads a file upload and processes it while its memory is reserved.
 *
 * @param request - the request
 * @param budget - memory budget for uploads
 * @param handleFile - processes the file
 * @returns result of `handleFile`, or the refusal of the upload
 */
export const withUpload = async <Value>(
  request: IncomingMessage,
  budget: UploadMemoryBudget,
  handleFile: (file: UploadedFile) => Promise<Result<Value, Refusal>>,
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
    return file.isOk() ? await handleFile(file.value) : err(file.error);
  } finally {
    budget.release(reserved);
  }
};
