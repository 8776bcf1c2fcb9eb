/** Answers as they are kept in claims. */
import { promisify } from 'node:util';
import { gunzip, gzip } from 'node:zlib';
import type { Attributes, Row } from '@jacinthlug/backing/Table';

const compress = promisify(gzip);

const decompress = promisify(gunzip);

/** Largest recorded body after compression; a row of the table holds 400 KB. Unit: bytes. */
const MAX_RECORDED_BODY_BYTES = 300_000;

/** Headers that are recorded with an answer. */
const recordedHeaders = [
  'content-type',
  'location',
  'etag',
  'content-language',
  'content-encoding',
];

/** A whole answer that can be given again. */
export interface RecordedResponse {
  readonly status: number;
  readonly headers: Readonly<Record<string, string | string[]>>;
  readonly body: Buffer;
}

/**
 * Renders an answer for the row of a claim.
 *
 * @param answer - the answer
 * @returns attributes; without a body when it is too large to be kept
 */
export const toAttributes = async (answer: RecordedResponse): Promise<Attributes> => {
  const headers = Object.fromEntries(
    recordedHeaders.flatMap((name) => {
      const value = [answer.headers[name]].flat()[0];
      return value === undefined ? [] : [[name, value]];
    }),
  );
  const body = await compress(answer.body);
  const kept = body.length <= MAX_RECORDED_BODY_BYTES ? { body } : {};
  return { status: answer.status, headers, ...kept };
};

/**
 * Reads an answer from the row of a claim.
 *
 * @param row - row in state `done`
 * @returns the answer, or nothing when its body was too large to be kept
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
