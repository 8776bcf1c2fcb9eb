/** Passes an answer of the target on to the entry host. */
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { FinalEvent } from '../target/FinalEvent.js';
import { headersToCaller } from '../target/forwardedHeaders.js';
import { isFramed, readWhole } from '../target/readWhole.js';
import type { OpenAnswer } from '../target/TargetClient.js';

/** How the relay of an answer ended. Faults of the target's connection are thrown. */
export type RelayEnd =
  /** The entry host has the whole answer. */
  | 'whole'
  /** The transfer ended cleanly, but the answer cannot be told to be whole. */
  | 'incomplete';

/** Where an answer goes. */
export interface RelayTarget {
  readonly response: ServerResponse;
  /** Gives the headers of the inner protocol at the moment at which the answer starts. */
  ownHeaders(): Record<string, string>;
}

/** Bytes read after the final event to keep the connection to the target usable. */
const MAX_REST_BYTES = 1024;

/** Time that the target has to end the transfer after the final event. Unit: ms. */
const REST_LIMIT_MS = 1000;

const EVENT_STREAM = /^text\/event-stream/i;

const write = async (response: ServerResponse, chunk: Buffer): Promise<void> => {
  if (response.write(chunk) || response.destroyed) return;
  await Promise.race([once(response, 'drain'), once(response, 'close')]);
};

const leaveRest = (answer: OpenAnswer): void => {
  const { body } = answer;
  let rest = 0;
  const timer = setTimeout(() => body.destroy(), REST_LIMIT_MS);
  body.on('error', () => undefined);
  body.on('close', () => clearTimeout(timer));
  body.on('data', (chunk: Buffer) => {
    rest += chunk.length;
    if (rest > MAX_REST_BYTES) body.destroy();
  });
};

const start = (
  answer: OpenAnswer,
  { response, ownHeaders }: RelayTarget,
  headers: Record<string, string> = {},
): void => {
  response.writeHead(answer.status, {
    ...headersToCaller(answer.headers),
    ...headers,
    ...ownHeaders(),
  });
  response.flushHeaders();
};

const writeRest = async ({ body }: OpenAnswer, response: ServerResponse): Promise<void> => {
  for await (const chunk of body.iterator({ destroyOnReturn: false })) {
    await write(response, chunk as Buffer);
  }
  response.end();
};

const relayFramedStream = async (answer: OpenAnswer, to: RelayTarget): Promise<RelayEnd> => {
  if (!isFramed(answer.status, answer.headers)) return 'incomplete';
  start(answer, to);
  await writeRest(answer, to.response);
  return 'whole';
};

const relayEngineStream = async (answer: OpenAnswer, to: RelayTarget): Promise<RelayEnd> => {
  start(answer, to);
  const finalEvent = new FinalEvent();
  for await (const chunk of answer.body.iterator({ destroyOnReturn: false })) {
    const isComplete = finalEvent.feed(chunk as Buffer);
    await write(to.response, chunk as Buffer);
    if (isComplete) break;
  }
  if (!finalEvent.isComplete()) return 'incomplete';
  to.response.end();
  leaveRest(answer);
  return 'whole';
};

const relayWhole = async (answer: OpenAnswer, to: RelayTarget): Promise<RelayEnd> => {
  const { status, headers } = answer;
  const { bytes, isWhole } = await readWhole(answer);
  if (!isFramed(status, headers)) return 'incomplete';
  if (isWhole) {
    start(answer, to, { 'content-length': String(bytes.length) });
    to.response.end(bytes);
    return 'whole';
  }
  start(answer, to);
  await write(to.response, bytes);
  await writeRest(answer, to.response);
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
export const relayAnswer = (
  answer: OpenAnswer,
  to: RelayTarget,
  isEngine: boolean,
): Promise<RelayEnd> => {
  const isStream = EVENT_STREAM.test(String(answer.headers['content-type']));
  if (!isStream) return relayWhole(answer, to);
  return isEngine ? relayEngineStream(answer, to) : relayFramedStream(answer, to);
};
