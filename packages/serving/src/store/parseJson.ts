/** Parses JSON from records that other processes wrote to the store. */
import { isUtf8 } from 'node:buffer';

/**
 * Parses the content of a record.
 *
 * @param content - bytes of the record
 * @returns parsed content; undefined, which every record schema rejects, if it is not valid UTF-8 and JSON
 */
export const parseJson = (content: Buffer): unknown => {
  // Decoding would replace invalid bytes, and names of other records could result.
  if (!isUtf8(content)) return undefined;
  try {
    return JSON.parse(content.toString());
  } catch {
    return undefined;
  }
};
