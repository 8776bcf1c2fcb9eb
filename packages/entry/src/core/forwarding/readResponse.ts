/** Reads the response of an agent to one attempt. */
import type { IncomingHttpHeaders } from 'node:http';
import { resultCodes, type ResultName } from '@jacinthlug/catalog/resultCodes';
import { innerHeaders } from '@jacinthlug/protocol/headers';
import { isHttpStatus } from '@jacinthlug/protocol/httpStatus';
import { targetLoadReport, type TargetLoadReport } from '@jacinthlug/protocol/messages';
import type { Dispatcher } from 'undici';
import * as z from 'zod';
import type { OnlineRequest } from '../online/OnlineRequest.js';
import { Abandoned, type AgentRefusal, type AttemptOutcome } from './AttemptOutcome.js';
import type { AttemptOptions } from './AttemptOptions.js';
import { readEvents } from './readEvents.js';
import type { SendState } from './SendState.js';

/** Maximum size of a buffered response. Unit: bytes. */
const MAX_RESPONSE_BYTES = 8 * 1024 * 1024;

/** Response headers that only apply to the connection to the agent. */
const connectionHeaders: ReadonlySet<string> = new Set([
  'connection',
  'keep-alive',
  'transfer-encoding',
  'content-length',
  'trailer',
  'upgrade',
  'date',
]);

const agentRefusalBody = z.object({
  error: z.object({
    run: z.enum(['not run', 'outcome unknown']),
    retryAfterSeconds: z.number().nonnegative().optional(),
    facts: z
      .object({ crash: z.string(), target: z.string(), fingerprints: z.array(z.string()) })
      .optional()
      .catch(undefined),
  }),
});

const resultNamesByNumber = new Map(
  Object.entries(resultCodes).map(([name, { number }]) => [String(number), name as ResultName]),
);

const getHeader = (headers: IncomingHttpHeaders, name: string): string | undefined => {
  const value = headers[name];
  return Array.isArray(value) ? value[0] : value;
};

const readLoadReport = (headers: IncomingHttpHeaders): TargetLoadReport | undefined => {
  try {
    return targetLoadReport.safeParse(JSON.parse(getHeader(headers, innerHeaders.load) ?? '')).data;
  } catch {
    return undefined;
  }
};

const filterHeaders = (headers: IncomingHttpHeaders): Record<string, string | string[]> =>
  Object.fromEntries(
    Object.entries(headers).filter(
      (entry): entry is [string, string | string[]] =>
        entry[1] !== undefined &&
        !connectionHeaders.has(entry[0]) &&
        !entry[0].startsWith('jacinthlug-'),
    ),
  );

/** Checks whether truncation of the body can be detected. */
const isDelimited = ({ statusCode, headers }: Dispatcher.ResponseData<unknown>): boolean =>
  statusCode === 204 ||
  statusCode === 304 ||
  headers['content-length'] !== undefined ||
  headers['transfer-encoding'] !== undefined;

/**
 * Classifies the fault of an attempt without a complete response.
 *
 * @param fault - error from undici
 * @param signal - abort signal of the attempt
 * @param sendState - send state of the attempt
 * @returns the outcome of the attempt
 */
export const classifyFault = (
  fault: unknown,
  signal: AbortSignal,
  { sent }: SendState,
): AttemptOutcome => {
  const reason: unknown = signal.aborted ? signal.reason : fault;
  if (reason instanceof Abandoned) {
    return { kind: 'abandoned', reason: reason.abortReason, sent };
  }
  const message = fault instanceof Error ? fault.message : String(fault);
  return { kind: sent ? 'cut' : 'not-sent', message };
};

const readComplete = async (
  options: AttemptOptions,
  { statusCode, headers, body, opaque }: Dispatcher.ResponseData<SendState>,
): Promise<AttemptOutcome> => {
  const chunks: Uint8Array[] = [];
  let size = 0;
  try {
    for await (const chunk of body as AsyncIterable<Uint8Array>) {
      size += chunk.length;
      if (size > MAX_RESPONSE_BYTES) {
        return { kind: 'oversized', message: `more than ${MAX_RESPONSE_BYTES} bytes` };
      }
      chunks.push(chunk);
    }
  } catch (fault) {
    return classifyFault(fault, options.signal, opaque);
  }
  return {
    kind: 'whole',
    status: statusCode,
    headers: filterHeaders(headers),
    body: Buffer.concat(chunks),
  };
};

const readStream = async (
  options: AttemptOptions,
  { statusCode, headers, body, opaque }: Dispatcher.ResponseData<SendState>,
): Promise<AttemptOutcome> => {
  const events = readEvents(body as AsyncIterable<Uint8Array>);
  const first = await events.next();
  if (first.done) {
    return classifyFault(new Error('the stream ended early'), options.signal, opaque);
  }
  return {
    kind: 'stream',
    status: statusCode,
    headers: filterHeaders(headers),
    events,
    firstEvents: first.value,
  };
};

const readRefusal = async (
  result: string,
  options: AttemptOptions,
  response: Dispatcher.ResponseData<SendState>,
): Promise<AttemptOutcome> => {
  const complete = await readComplete(options, response);
  const code = resultNamesByNumber.get(result);
  if (code === undefined) return { kind: 'cut', message: `unknown result ${result}` };
  const refusal: AgentRefusal = { kind: 'refused', code, run: resultCodes[code].run };
  // Without the body the run state is unknown: the agent may be less certain than the default of the code.
  if (complete.kind !== 'whole') return { ...refusal, run: 'outcome unknown' };
  try {
    const { error } = agentRefusalBody.parse(JSON.parse(complete.body.toString('utf8')));
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
 * Reads the response of an agent.
 *
 * @param request - the request
 * @param options - options of the attempt
 * @param response - response head and body from undici
 * @returns the response, refusal or failure; never throws
 */
export const readResponse = async (
  request: OnlineRequest,
  options: AttemptOptions,
  response: Dispatcher.ResponseData<SendState>,
): Promise<AttemptOutcome> => {
  const { headers, body } = response;
  if (getHeader(headers, innerHeaders.request) !== request.requestId) {
    body.on('error', () => undefined).destroy();
    const other = getHeader(headers, innerHeaders.request) ?? 'none';
    return { kind: 'mismatched', message: `response to request ${other}` };
  }
  if (!isHttpStatus(response.statusCode)) {
    body.on('error', () => undefined).destroy();
    return { kind: 'cut', message: `invalid status ${response.statusCode}` };
  }
  const report = readLoadReport(headers);
  if (report) options.onLoadReport(report);
  if (!isDelimited(response)) {
    body.on('error', () => undefined).destroy();
    return {
      kind: 'cut',
      message: 'the response is not delimited, so truncation could not be detected',
    };
  }
  const result = getHeader(headers, innerHeaders.result);
  if (result !== undefined) return readRefusal(result, options, response);
  const type = getHeader(headers, 'content-type') ?? '';
  return type.startsWith('text/event-stream')
    ? readStream(options, response)
    : readComplete(options, response);
};
