/** Reading JSON that others wrote into the store. */

/**
 * Parses the content of a record.
 *
 * @param content - bytes of the record
 * @returns the parsed content; undefined, which no schema of a record takes, when it is no JSON
 */
export const parseJson = (content: Buffer): unknown => {
  try {
    return JSON.parse(content.toString());
  } catch {
    return undefined;
  }
};
