/** Reads the multipart body of a file upload. */
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { Exchange } from '../http/Exchange.js';
import { readBody } from '../http/readBody.js';
import { isParsedInThread, parseLargeUpload } from './parseLargeUpload.js';
import type { ParsedUpload } from './parseUpload.js';

/** Maximum size of a file. Unit: bytes. */
export const MAX_FILE_BYTES = 209_715_200;

/** Maximum size of the other parts of an upload. Unit: bytes. */
const MAX_OTHER_PARTS_BYTES = 65_536;

/** Copies of an upload that are in memory while it is parsed, the parsed file included. */
const PARSED_COPIES = 3;

/** Memory of the thread that parses a large upload. Unit: bytes. */
const PARSER_BYTES = 16_777_216;

/** The only supported purpose of a file. */
const PURPOSE = 'batch';

/** An uploaded file. */
export interface UploadedFile {
  readonly purpose: string;
  readonly filename: string;
  readonly content: Uint8Array;
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
 * @param exchange - exchange with the caller
 * @param account - name of the client account
 * @param handleFile - processes the file
 * @returns result of `handleFile`, or the refusal of the upload
 */
export const withUpload = async <Value>(
  exchange: Exchange,
  account: string,
  handleFile: (file: UploadedFile) => Promise<Result<Value, Refusal>>,
): Promise<Result<Value, Refusal>> => {
  const limitBytes = MAX_FILE_BYTES + MAX_OTHER_PARTS_BYTES;
  const body = await readBody(exchange, { limitBytes, account });
  if (body.isErr()) return err(body.error);
  const { content, held } = body.value;
  const threadBytes = isParsedInThread(content) ? PARSER_BYTES : 0;
  try {
    if (!held.reserve(content.length * PARSED_COPIES + threadBytes))
      return err(refuse('bodies-over-memory'));
    const contentType = exchange.request.headers['content-type'] ?? '';
    const parsed = await parseLargeUpload(content, contentType);
    if (!parsed) return err(refuse('body-invalid', { detail: 'not multipart/form-data' }));
    const file = checkUpload(parsed);
    return file.isOk() ? await handleFile(file.value) : err(file.error);
  } finally {
    held.release();
  }
};
