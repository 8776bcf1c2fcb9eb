/** Reads the multipart body of a file upload. */
import type { IncomingMessage } from 'node:http';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import { Response, type FormData } from 'undici';
import { readRequestBody } from './readRequestBody.js';

/** Largest file. Unit: bytes. */
export const MAX_FILE_BYTES = 209_715_200;

/** Room for the other parts of an upload. Unit: bytes. */
const MAX_OVERHEAD_BYTES = 65_536;

/** Bytes of all uploads that are in memory at once; one file of the largest size fits. */
const UPLOAD_BUDGET_BYTES = MAX_FILE_BYTES + 67_108_864;

/** The only purpose that files serve here. */
const PURPOSE = 'batch';

/** An uploaded file. */
export interface UploadedFile {
  readonly purpose: string;
  readonly filename: string;
  readonly content: Uint8Array;
}

/** Bytes of uploads that are in memory. */
export class UploadBudget {
  private used = 0;

  /**
   * Reserves memory.
   *
   * @param bytes - how much
   * @returns whether there was room
   */
  take(bytes: number): boolean {
    if (this.used + bytes > UPLOAD_BUDGET_BYTES) return false;
    this.used += bytes;
    return true;
  }

  /**
   * Gives memory back.
   *
   * @param bytes - how much
   */
  giveBack(bytes: number): void {
    this.used -= bytes;
  }
}

const parseForm = async (body: Buffer, contentType: string): Promise<FormData | undefined> => {
  try {
    return await new Response(body, { headers: { 'content-type': contentType } }).formData();
  } catch {
    return undefined;
  }
};

const readForm = async (form: FormData): Promise<Result<UploadedFile, Refusal>> => {
  const purpose = form.get('purpose');
  const file = form.get('file');
  if (purpose !== PURPOSE) {
    return err(refuse('body-invalid', { detail: `purpose: must be "${PURPOSE}"` }));
  }
  if (file === null || typeof file === 'string') {
    return err(refuse('body-invalid', { detail: 'file: missing' }));
  }
  if (file.size > MAX_FILE_BYTES) return err(refuse('body-too-large'));
  return ok({ purpose, filename: file.name, content: new Uint8Array(await file.arrayBuffer()) });
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
  budget: UploadBudget,
  use: (file: UploadedFile) => Promise<Result<Value, Refusal>>,
): Promise<Result<Value, Refusal>> => {
  let reserved = 0;
  const admit = (bytes: number): boolean => {
    if (!budget.take(bytes)) return false;
    reserved += bytes;
    return true;
  };
  try {
    const body = await readRequestBody(request, MAX_FILE_BYTES + MAX_OVERHEAD_BYTES, admit);
    if (body.isErr()) return err(body.error);
    const form = await parseForm(body.value, request.headers['content-type'] ?? '');
    if (!form) return err(refuse('body-invalid', { detail: 'not multipart/form-data' }));
    const file = await readForm(form);
    return file.isOk() ? await use(file.value) : err(file.error);
  } finally {
    budget.giveBack(reserved);
  }
};
