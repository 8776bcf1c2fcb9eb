/** Relays a response of the target to the entry host. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { FinalEventDetector } from '../target/FinalEventDetector.js';
import { filterResponseHeaders } from '../target/forwardedHeaders.js';
import { isFramed, bufferBody } from '../target/bufferBody.js';
import type { OpenResponse } from '../target/TargetClient.js';

/** Outcome of relaying a response. Errors of the target's connection are thrown. */
export type RelayOutcome =
  /** The response was relayed completely. */
  | 'whole'
  /** The transfer ended cleanly, but the response may be truncated. */
  | 'incomplete';

/** Destination of a relayed response. */
export interface RelayDestination {
  readonly response: ServerResponse;
  /** Creates the headers of the inner protocol when the response starts. */
  createProtocolHeaders(): Record<string, string>;
}

/** Maximum bytes read after the final event so that the connection can be reused. */
const MAX_TRAILING_BYTES = 1024;

/** Timeout for the end of the transfer after the final event. Unit: ms. */
const TRAILING_DATA_TIMEOUT_MS = 1000;

const EVENT_STREAM = /^text\/event-stream/i;

const writeChunk = async (response: ServerResponse, chunk: Buffer): Promise<void> => {
  if (response.write(chunk) || response.destroyed) return;
  await Promise.race([once(response, 'drain'), once(response, 'close')]);
};

const discardTrailingData = (answer: OpenResponse): void => {
  const { body } = answer;
  let trailingBytes = 0;
  const timer = setTimeout(() => body.destroy(), TRAILING_DATA_TIMEOUT_MS);
  body.on('error', () => undefined);
  body.on('close', () => clearTimeout(timer));
  body.on('data', (chunk: Buffer) => {
    trailingBytes += chunk.length;
    if (trailingBytes > MAX_TRAILING_BYTES) body.destroy();
  });
};

const startResponse = (
  answer: OpenResponse,
  { response, createProtocolHeaders }: RelayDestination,
  headers: Record<string, string> = {},
): void => {
  response.writeHead(answer.status, {
    ...filterResponseHeaders(answer.headers),
    ...headers,
    ...createProtocolHeaders(),
  });
  response.flushHeaders();
};

const writeRemainder = async ({ body }: OpenResponse, response: ServerResponse): Promise<void> => {
  for await (const chunk of body.iterator({ destroyOnReturn: false })) {
    await writeChunk(response, chunk as Buffer);
  }
  response.end();
};

const relayFramedStream = async (
  answer: OpenResponse,
  to: RelayDestination,
): Promise<RelayOutcome> => {
  if (!isFramed(answer.status, answer.headers)) return 'incomplete';
  startResponse(answer, to);
  await writeRemainder(answer, to.response);
  return 'whole';
};

const relayEngineStream = async (
  answer: OpenResponse,
  to: RelayDestination,
): Promise<RelayOutcome> => {
  startResponse(answer, to);
  const finalEvent = new FinalEventDetector();
  for await (const chunk of answer.body.iterator({ destroyOnReturn: false })) {
    const hasFinalEvent = finalEvent.feed(chunk as Buffer);
    await writeChunk(to.response, chunk as Buffer);
    if (hasFinalEvent) break;
  }
  if (!finalEvent.isComplete()) return 'incomplete';
  to.response.end();
  discardTrailingData(answer);
  return 'whole';
};

const relayBuffered = async (answer: OpenResponse, to: RelayDestination): Promise<RelayOutcome> => {
  const { status, headers } = answer;
  const { bytes, isComplete } = await bufferBody(answer);
  if (!isFramed(status, headers)) return 'incomplete';
  if (isComplete) {
    startResponse(answer, to, { 'content-length': String(bytes.length) });
    to.response.end(bytes);
    return 'whole';
  }
  startResponse(answer, to);
  await writeChunk(to.response, bytes);
  await writeRemainder(answer, to.response);
  return 'whole';
};

/**
 * Relays a response. An SSE stream of an engine is complete only with its final event, that of a
 * plain service when its transfer ends. Other responses are buffered until they are complete, up to
 * `MAX_BUFFERED_BYTES`; the rest of a larger one is streamed.
 *
 * @param answer - response of the target
 * @param to - response to the entry host
 * @param isEngine - whether the target is an engine
 * @returns the outcome; the response to the entry host is not ended when it is `incomplete`
 */
export const relayResponse = (
  answer: OpenResponse,
  to: RelayDestination,
  isEngine: boolean,
): Promise<RelayOutcome> => {
  const isStream = EVENT_STREAM.test(String(answer.headers['content-type']));
  if (!isStream) return relayBuffered(answer, to);
  return isEngine ? relayEngineStream(answer, to) : relayFramedStream(answer, to);
};
