/** Parses the multipart body of a file upload. */
import { Response } from 'undici';

/** Parts of an upload; absent parts were not sent. */
export interface ParsedUpload {
  readonly purpose?: string;
  readonly file?: { readonly name: string; readonly content: Uint8Array<ArrayBuffer> };
}

/**
 * Parses a multipart body.
 *
 * @param body - complete body
 * @param contentType - value of the `content-type` header
 * @returns the parts, or undefined if the body is not multipart/form-data
 */
export const parseUpload = async (
  body: Uint8Array<ArrayBuffer>,
  contentType: string,
): Promise<ParsedUpload | undefined> => {
  try {
    const form = await new Response(body, { headers: { 'content-type': contentType } }).formData();
    const purpose = form.get('purpose');
    const file = form.get('file');
    return {
      ...(typeof purpose === 'string' ? { purpose } : {}),
      ...(file !== null && typeof file !== 'string'
        ? { file: { name: file.name, content: new Uint8Array(await file.arrayBuffer()) } }
        : {}),
    };
  } catch {
    return undefined;
  }
};
