/** Reads the answer of an agent to one attempt. */
import type { IncomingHttpHeaders } from 'node:http';
import { resultCodes, type ResultName } from '@jacinthlug/catalog/resultCodes';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { targetLoadReport, type TargetLoadReport } from '@jacinthlug/protocol/messages';
import type { Dispatcher } from 'undici';
import * as z from 'zod';
import type { OnlineRequest } from '../online/OnlineRequest.js';
import { Abandoned, type AgentRefusal, type Attempt } from './Attempt.js';
import type { AttemptTerms } from './AttemptTerms.js';
import { readEvents } from './readEvents.js';
import type { Sending } from './Sending.js';

/** Largest whole answer that is buffered. Unit: bytes. */
const MAX_ANSWER_BYTES = 8 * 1024 * 1024;

/** Headers of the agent's answer that concern its connection only. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
  'date',
]);

const refusalFacts = z.object({
  error: z.object({
    run: z.enum(['not run', 'outcome unknown']),
    retryAfterSeconds: z.number().nonnegative().optional(),
    facts: z
      .object({ crash: z.string(), target: z.string(), fingerprints: z.array(z.string()) })
      .optional()
      .catch(undefined),
  }),
});

const namesByNumber = new Map(
  Object.entries(resultCodes).map(([name, { number }]) => [String(number), name as ResultName]),
);

const headerOf = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const readLoad = (headers: IncomingHttpHeaders): TargetLoadReport | undefined => {
  try {
    return targetLoadReport.safeParse(JSON.parse(headerOf(headers, innerHeaders.load) ?? '')).data;
  } catch {
    return undefined;
  }
};

const keptHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined &&
        !connectionHeaders.has(entry[0]) &&
        !entry[0].startsWith('jacinthlug-'),
    ),
  );

/** Tells whether a cut of the body would be noticed. */
const isDelimited = ({ statusCode, headers }: Dispatcher.ResponseData<unknown>): boolean =>
  statusCode === 204 ||
  statusCode === 304 ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

/**
 * Tells what an attempt without a whole answer has become.
 *
 * @param fault - what undici told
 * @param signal - signal of the attempt
 * @param sending - whether anything was sent
 * @returns the failed attempt
 */
export const explainFault = (fault: unknown, signal: AbortSignal, { sent }: Sending): Attempt => {
  const reason: unknown = signal.aborted ? signal.reason : fault;
  if (reason instanceof Abandoned) {
    return { kind: 'abandoned', cause: reason.abandonCause, sent };
  }
  const message = fault instanceof Error ? fault.message : String(fault);
  return { kind: sent ? 'cut' : 'not-sent', message };
};

const readWhole = async (
  terms: AttemptTerms,
  { statusCode, headers, body, opaque }: Dispatcher.ResponseData<Sending>,
): Promise<Attempt> => {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      size += chunk.length;
      if (size > MAX_ANSWER_BYTES) {
        return { kind: 'oversized', message: `more than ${MAX_ANSWER_BYTES} bytes` };
      }
      chunks.push(chunk);
    }
  } catch (fault) {
    return explainFault(fault, terms.signal, opaque);
  }
  return {
    kind: 'whole',
    status: statusCode,
    headers: keptHeaders(headers),
    body: Buffer.concat(chunks),
  };
};

const readStream = async (
  terms: AttemptTerms,
  { statusCode, headers, body, opaque }: Dispatcher.ResponseData<Sending>,
): Promise<Attempt> => {
  const events = readEvents(body as AsyncIterable<Uint8Array>);
  const first = await events.next();
  if (first.done) {
    return explainFault(new Error('the stream ended early'), terms.signal, opaque);
  }
  return {
    kind: 'stream',
    status: statusCode,
    headers: keptHeaders(headers),
    events,
    first: first.value,
  };
};

const readRefusal = async (
  result: string,
  terms: AttemptTerms,
  response: Dispatcher.ResponseData<Sending>,
): Promise<Attempt> => {
  const answer = await readWhole(terms, response);
  const code = namesByNumber.get(result);
  if (code === undefined) return { kind: 'cut', message: `unknown result ${result}` };
  const refusal: AgentRefusal = { kind: 'refused', code, run: resultCodes[code].run };
  // Without its body a refusal proves nothing: the agent may know less than the catalogue says.
  if (answer.kind !== 'whole') return { ...refusal, run: 'outcome unknown' };
  try {
    const { error } = refusalFacts.parse(JSON.parse(answer.body.toString('utf8')));
    const { run, retryAfterSeconds, facts } = error;
    return {
      ...refusal,
      run,
      ...(retryAfterSeconds !== undefined && { retryAfterSeconds }),
      ...(facts && { crash: { ...facts, id: facts.crash } }),
    };
  } catch {
    return { ...refusal, run: 'outcome unknown' };
  }
};

/**
 * Reads the answer of an agent.
 *
 * @param request - the request
 * @param terms - terms of the attempt
 * @param response - head and body as undici gives them
 * @returns the answer, refusal or failure; never throws
 */
export const readAnswer = async (
  request: OnlineRequest,
  terms: AttemptTerms,
  response: Dispatcher.ResponseData<Sending>,
): Promise<Attempt> => {
  const { headers, body } = response;
  if (headerOf(headers, innerHeaders.request) !== request.requestId) {
    body.on('error', () => undefined).destroy();
    const other = headerOf(headers, innerHeaders.request) ?? 'none';
    return { kind: 'mismatched', message: `answer of request ${other}` };
  }
  const load = readLoad(headers);
  if (load) terms.onLoad(load);
  if (!isDelimited(response)) {
    body.on('error', () => undefined).destroy();
    return { kind: 'cut', message: 'the end of the answer cannot be told' };
  }
  const result = headerOf(headers, innerHeaders.result);
  if (result !== undefined) return readRefusal(result, terms, response);
  const type = headerOf(headers, 'content-type') ?? '';
  return type.startsWith('text/event-stream')
    ? readStream(terms, response)
    : readWhole(terms, response);
};
