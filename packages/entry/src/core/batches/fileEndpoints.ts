/** Endpoints under `/v1/files`. */
import type { JobReport } from '@jacinthlug/batch/JobStore';
import type { ReadFailure } from '@jacinthlug/batch/BatchFailure';
import {
  hasResultFile,
  openResultFile,
  parseResultFileId,
  resultFileBytes,
  type ResultKind,
} from '@jacinthlug/batch/results/resultFiles';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import { err, ok, type Result } from 'neverthrow';
import type { Caller, CallerHandler, Endpoint, Exchange } from '../http/Exchange.js';
import type { BatchDependencies } from './BatchDependencies.js';
import { slicePage, readPageQuery, renderPage } from './listPage.js';
import { withUpload } from './readUpload.js';
import { toRefusal } from './toRefusal.js';
import { renderFile, renderResultFile } from './renderBatch.js';
import { sendContent, sendJson } from './sendResponse.js';

const DEFAULT_PAGE_SIZE = 100;

/** A result file that exists. */
interface ExistingResultFile {
  readonly report: JobReport;
  readonly kind: ResultKind;
}

const getAccountName = ({ key }: Caller): string => key.account.name;

/**
 * Creates the endpoints under `/v1/files`.
 *
 * @param dependencies - stores
 * @returns the endpoints
 */
export const createFileEndpoints = ({
  files,
  jobs,
  objects,
}: BatchDependencies): Endpoint<CallerHandler>[] => {
  /** Finds a result file; undefined if the id is not that of a result file. */
  const findResult = async (
    caller: Caller,
    id: string,
  ): Promise<Result<ExistingResultFile | undefined, ReadFailure>> => {
    const parsed = parseResultFileId(id);
    if (!parsed) return ok(undefined);
    const report = await jobs.report(parsed.job);
    if (report.isErr()) return err(report.error);
    const isOwn = report.value.job.account === getAccountName(caller);
    if (!isOwn || !hasResultFile(report.value, parsed.kind)) return err({ kind: 'not-found' });
    return ok({ report: report.value, kind: parsed.kind });
  };

  const getId = ({ request }: Exchange): string => request.params.id ?? '';

  const upload: CallerHandler = (exchange, caller) =>
    withUpload(exchange, getAccountName(caller), async (file) => {
      const account = getAccountName(caller);
      const added = await files.add({ ...file, account }, exchange.deadline);
      if (added.isErr()) return err(toRefusal(added.error));
      sendJson(exchange, renderFile(added.value));
      return ok(undefined);
    });

  const list: CallerHandler = async (exchange, caller) => {
    const query = readPageQuery(exchange, DEFAULT_PAGE_SIZE);
    const listed = await files.list(getAccountName(caller));
    if (listed.isErr()) return err(toRefusal(listed.error));
    const purpose = query.parameters.get('purpose');
    const matching = listed.value.filter((file) => purpose === null || file.purpose === purpose);
    const ordered = query.parameters.get('order') === 'asc' ? matching.reverse() : matching;
    const page = slicePage(ordered, query, ({ id }) => id);
    sendJson(exchange, renderPage(page.items.map(renderFile), page.hasMore));
    return ok(undefined);
  };

  const get: CallerHandler = async (exchange, caller) => {
    const result = await findResult(caller, getId(exchange));
    if (result.isErr()) return err(toRefusal(result.error));
    if (result.value) {
      sendJson(exchange, renderResultFile(result.value.report, result.value.kind));
      return ok(undefined);
    }
    const file = await files.get(getAccountName(caller), getId(exchange));
    if (file.isErr()) return err(toRefusal(file.error));
    sendJson(exchange, renderFile(file.value));
    return ok(undefined);
  };

  const sendResult = async (
    exchange: Exchange,
    { report, kind }: ExistingResultFile,
  ): Promise<Result<void, Refusal>> => {
    const content = await openResultFile(objects, report, kind);
    if (content.isErr()) return err(toRefusal(content.error));
    await sendContent(exchange, resultFileBytes(report, kind), content.value);
    return ok(undefined);
  };

  const getContent: CallerHandler = async (exchange, caller) => {
    const result = await findResult(caller, getId(exchange));
    if (result.isErr()) return err(toRefusal(result.error));
    if (result.value) return sendResult(exchange, result.value);
    const file = await files.get(getAccountName(caller), getId(exchange));
    if (file.isErr()) return err(toRefusal(file.error));
    const content = await files.open(file.value);
    if (content.isErr()) return err(toRefusal(content.error));
    await sendContent(exchange, file.value.bytes, content.value);
    return ok(undefined);
  };

  const remove: CallerHandler = async (exchange, caller) => {
    const id = getId(exchange);
    const result = await findResult(caller, id);
    if (result.isErr()) return err(toRefusal(result.error));
    if (result.value) {
      return err(refuse('body-invalid', { detail: 'result files are kept with their batch' }));
    }
    const file = await files.get(getAccountName(caller), id);
    if (file.isErr()) return err(toRefusal(file.error));
    const removed = await files.remove(file.value, exchange.deadline);
    if (removed.isErr()) return err(toRefusal(removed.error));
    sendJson(exchange, { id, object: 'file', deleted: true });
    return ok(undefined);
  };

  return [
    { method: 'POST', path: '/v1/files', handle: upload },
    { method: 'GET', path: '/v1/files', handle: list },
    { method: 'GET', path: '/v1/files/:id', handle: get },
    { method: 'GET', path: '/v1/files/:id/content', handle: getContent },
    { method: 'DELETE', path: '/v1/files/:id', handle: remove },
  ];
};
