/** Responses recorded in claim rows. */
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import type { Attributes, Row } from '@jacinthlug/backing/Table';

const compress = promisify(gzip);

const decompress = promisify(gunzip);

/** Maximum size of a compressed recorded body; a table row is limited to 400 KB. Unit: bytes. */
const MAX_RECORDED_BODY_BYTES = 300_000;

/** Response headers that are recorded. */
const recordedHeaders = [
  'content-type',
  'location',
  'etag',
  'content-language',
  'content-encoding',
];

/** A complete response that can be replayed. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/**
 * Converts a response to attributes of a claim row.
 *
 * @param response - the response
 * @returns the attributes; without the body if it is too large
 */
export const toAttributes = async (response: RecordedResponse): Promise<Attributes> => {
  const headers = Object.fromEntries(
    recordedHeaders.flatMap((name) => {
      const value = [response.headers[name]].flat()[0];
      return value === undefined ? [] : [[name, value]];
    }),
  );
  const body = await compress(response.body);
  const bodyAttribute = body.length <= MAX_RECORDED_BODY_BYTES ? { body } : {};
  return { status: response.status, headers, ...bodyAttribute };
};

/**
 * Reads the response from a claim row.
 *
 * @param row - row in state `done`
 * @returns the response, or undefined if its body was too large to be recorded
 */
export const fromRow = async ({ attributes }: Row): Promise<RecordedResponse | undefined> => {
  const { status, headers, body } = attributes;
  if (typeof status !== 'number' || !(body instanceof Uint8Array)) return undefined;
  return {
    status,
    headers: { ...(headers as Record<string, string>) },
    body: await decompress(body),
  };
};
