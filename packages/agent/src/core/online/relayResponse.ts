/** Passes an answer of the target on to the entry host. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { FinalEventDetector } from '../target/FinalEventDetector.js';
import { filterResponseHeaders } from '../target/forwardedHeaders.js';
import { isFramed, bufferBody } from '../target/bufferBody.js';
import type { OpenResponse } from '../target/TargetClient.js';

/** How the relay of an answer ended. Faults of the target's connection are thrown. */
export type RelayOutcome =
  /** The entry host has the whole answer. */
  | 'whole'
  /** The transfer ended cleanly, but the answer cannot be told to be whole. */
  | 'incomplete';

/** Where an answer goes. */
export interface RelayDestination {
  readonly response: ServerResponse;
  /** Gives the headers of the inner protocol at the moment at which the answer starts. */
  createProtocolHeaders(): Record<string, string>;
}

/** Bytes read after the final event to keep the connection to the target usable. */
const MAX_TRAILING_BYTES = 1024;

/** Time that the target has to end the transfer after the final event. Unit: ms. */
const TRAILING_DATA_TIMEOUT_MS = 1000;

const EVENT_STREAM = /^text\/event-stream/i;

const writeChunk = async (response: ServerResponse, chunk: Buffer): Promise<void> => {
  if (response.write(chunk) || response.destroyed) return;
  await Promise.race([once(response, 'drain'), once(response, 'close')]);
};

const discardTrailingData = (answer: OpenResponse): void => {
  const { body } = answer;
  let rest = 0;
  const timer = setTimeout(() => body.destroy(), TRAILING_DATA_TIMEOUT_MS);
  body.on('error', () => undefined);
  body.on('close', () => clearTimeout(timer));
  body.on('data', (chunk: Buffer) => {
    rest += chunk.length;
    if (rest > MAX_TRAILING_BYTES) body.destroy();
  });
};

const startResponse = (
  answer: OpenResponse,
  { response, createProtocolHeaders: ownHeaders }: RelayDestination,
  headers: Record<string, string> = {},
): void => {
  response.writeHead(answer.status, {
    ...filterResponseHeaders(answer.headers),
    ...headers,
    ...ownHeaders(),
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
    const isComplete = finalEvent.feed(chunk as Buffer);
    await writeChunk(to.response, chunk as Buffer);
    if (isComplete) break;
  }
  if (!finalEvent.isComplete()) return 'incomplete';
  to.response.end();
  discardTrailingData(answer);
  return 'whole';
};

const relayBuffered = async (answer: OpenResponse, to: RelayDestination): Promise<RelayOutcome> => {
  const { status, headers } = answer;
  const { bytes, isComplete: isWhole } = await bufferBody(answer);
  if (!isFramed(status, headers)) return 'incomplete';
  if (isWhole) {
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
 * Passes an answer on. An SSE stream of an engine is whole only with its final event, one of a plain
 * service with the end of its transfer. Everything else is held back until it is whole, up to the
 * limit of memory.
 *
 * @param answer - answer of the target
 * @param to - response to the entry host
 * @param isEngine - whether the target is an engine
 * @returns how it ended; the response is open when it did not end whole
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
