/** Parses JSON from records that other processes wrote to the store. */

/**
 * Parses the content of a record.
 *
 * @param content - bytes of the record
 * @returns parsed content; undefined, which every record schema rejects, if it is not valid JSON
 */
export const parseJson = (content: Buffer): unknown => {
  try {
    return JSON.parse(content.toString());
  } catch {
    return undefined;
  }
};
