/** Endpoints under `/v1/batches`. */
import type { InputRules } from '@jacinthlug/batch/input/checkInput';
import { EMPTY_TALLY, type JobReport, type Submission } from '@jacinthlug/batch/JobStore';
import { RELEASED } from '@jacinthlug/batch/rows/rows';
import type { Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { Caller, CallerHandler, Endpoint, Exchange } from '../http/Exchange.js';
import type { BatchDependencies } from './BatchDependencies.js';
import { batchRequest, parseWindowMs, type BatchRequest } from './batchRequest.js';
import { containsGrantedKey } from './findKeys.js';
import { slicePage, readPageQuery, renderPage } from './listPage.js';
import { readJsonBody } from './readJsonBody.js';
import { toRefusal } from './toRefusal.js';
import { renderBatch } from './renderBatch.js';
import { sendJson } from './sendResponse.js';

const DEFAULT_PAGE_SIZE = 20;

const IDEMPOTENCY_HEADER = 'idempotency-key';

const getAccountName = ({ key }: Caller): string => key.account.name;

const createInputRules = ({ configuration }: Caller, { endpoint }: BatchRequest): InputRules => ({
  endpoint,
  servesModel: (model) => configuration.findServiceForModel(model)?.protocol === 'openai',
  containsKey: (text) => containsGrantedKey(configuration, text),
});

const listHolderAddresses = ({ chunks }: JobReport): string[] => [
  ...new Set(
    chunks
      .filter(({ state, holder }) => state === 'claimed' && holder !== RELEASED)
      .map(({ address }) => address),
  ),
];

/**
 * Creates the endpoints under `/v1/batches`.
 *
 * @param dependencies - stores, and the function that notifies agents of a cancelled job
 * @returns the endpoints
 */
export const createJobEndpoints = ({
  files,
  jobs,
  journal,
  notifyCancelled,
}: BatchDependencies): Endpoint<CallerHandler>[] => {
  const findOwnJob = async (
    { request }: Exchange,
    caller: Caller,
  ): Promise<Result<JobReport, Refusal>> => {
    const report = await jobs.report(request.params.id ?? '');
    if (report.isErr()) return err(toRefusal(report.error));
    const isOwn = report.value.job.account === getAccountName(caller);
    return isOwn ? ok(report.value) : err(toRefusal({ kind: 'not-found' }));
  };

  const createSubmission = async (
    { request }: Exchange,
    caller: Caller,
    body: BatchRequest,
  ): Promise<Result<Submission, Refusal>> => {
    const file = await files.get(getAccountName(caller), body.input_file_id);
    if (file.isErr()) return err(toRefusal(file.error));
    const idempotencyKey = request.headers[IDEMPOTENCY_HEADER];
    return ok({
      account: getAccountName(caller),
      file: file.value,
      window: body.completion_window,
      dueInMs: parseWindowMs(body.completion_window),
      metadata: body.metadata ?? null,
      ...(typeof idempotencyKey === 'string' ? { idempotencyKey } : {}),
    });
  };

  const create: CallerHandler = async (exchange, caller) => {
    const body = await readJsonBody(exchange, getAccountName(caller), batchRequest);
    if (body.isErr()) return err(body.error);
    const submission = await createSubmission(exchange, caller, body.value);
    if (submission.isErr()) return err(submission.error);
    const rules = createInputRules(caller, body.value);
    const accepted = await jobs.accept(submission.value, rules, exchange.deadline);
    if (accepted.isErr()) return err(toRefusal(accepted.error));
    const { job, resent } = accepted.value;
    journal.record('job-accepted', { job: job.id, account: job.account, resent });
    // A new job is rendered without reading it, since a read could fail after the acceptance.
    const report = resent ? await jobs.report(job.id) : ok({ job, chunks: [], tally: EMPTY_TALLY });
    if (report.isErr()) return err({ ...toRefusal(report.error), run: 'outcome unknown' });
    sendJson(exchange, renderBatch(report.value));
    return ok(undefined);
  };

  const get: CallerHandler = async (exchange, caller) => {
    const report = await findOwnJob(exchange, caller);
    if (report.isErr()) return err(report.error);
    sendJson(exchange, renderBatch(report.value));
    return ok(undefined);
  };

  const list: CallerHandler = async (exchange, caller) => {
    const query = readPageQuery(exchange, DEFAULT_PAGE_SIZE);
    const ids = await jobs.list(getAccountName(caller));
    if (ids.isErr()) return err(toRefusal(ids.error));
    const page = slicePage(ids.value, query, (id) => id);
    const data: { readonly id: string }[] = [];
    for (const id of page.items) {
      const report = await jobs.report(id);
      if (report.isErr()) return err(toRefusal(report.error));
      data.push(renderBatch(report.value));
    }
    sendJson(exchange, renderPage(data, page.hasMore));
    return ok(undefined);
  };

  const cancel: CallerHandler = async (exchange, caller) => {
    const own = await findOwnJob(exchange, caller);
    if (own.isErr()) return err(own.error);
    const { id } = own.value.job;
    const cancelled = await jobs.cancel(id, exchange.deadline);
    if (cancelled.isErr()) return err(toRefusal(cancelled.error));
    if (cancelled.value.job.state === 'cancelled') {
      journal.record('job-cancelled', { job: id });
      notifyCancelled({ job: id }, listHolderAddresses(cancelled.value));
    }
    sendJson(exchange, renderBatch(cancelled.value));
    return ok(undefined);
  };

  return [
    { method: 'POST', path: '/v1/batches', handle: create },
    { method: 'GET', path: '/v1/batches', handle: list },
    { method: 'GET', path: '/v1/batches/:id', handle: get },
    { method: 'POST', path: '/v1/batches/:id/cancel', handle: cancel },
  ];
};
