/** Output and error files of jobs, assembled from the results of their chunks. */
import { Readable } from 'node:stream';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { err, ok, type Result } from 'neverthrow';
import { fromObjectFailure, type ReadFailure } from '../BatchFailure.js';
import type { Chunk, JobReport } from '../JobStore.js';
import type { Tally } from '../rows/rows.js';
import { isSuccess, resultLine } from './resultLine.js';

/** Kind of a result file: `output` for succeeded items, `error` for failed items. */
export type ResultKind = 'output' | 'error';

/** A result file of a job. */
export interface ResultFile {
  readonly kind: ResultKind;
  readonly job: string;
}

interface ResultKindTraits {
  readonly items: (tally: Tally) => number;
  readonly bytes: (tally: Tally) => number;
  readonly includesSuccess: boolean;
}

const resultKinds: Readonly<Record<ResultKind, ResultKindTraits>> = {
  output: {
    items: ({ succeeded }) => succeeded,
    bytes: ({ outputBytes }) => outputBytes,
    includesSuccess: true,
  },
  error: {
    items: ({ failed }) => failed,
    bytes: ({ errorBytes }) => errorBytes,
    includesSuccess: false,
  },
};

const idPattern = /^file-(output|error)-([0-9a-f]+)$/;

/**
 * Returns the id of a result file.
 *
 * @param job - job id
 * @param kind - kind of the file
 * @returns file id
 */
export const resultFileId = (job: string, kind: ResultKind): string =>
  `file-${kind}-${job.replace(/^batch_/, '')}`;

/**
 * Parses the id of a result file.
 *
 * @param id - file id
 * @returns job and kind; undefined for other files
 */
export const parseResultFileId = (id: string): ResultFile | undefined => {
  const match = idPattern.exec(id);
  if (!match) return undefined;
  return { kind: match[1] as ResultKind, job: `batch_${match[2]}` };
};

/**
 * Checks whether a job has a result file, which requires that the job has ended and the file is not
 * empty.
 *
 * @param report - the job
 * @param kind - kind of the file
 * @returns whether the file exists
 */
export const hasResultFile = ({ job, tally }: JobReport, kind: ResultKind): boolean =>
  job.state !== 'open' && resultKinds[kind].items(tally) > 0;

/**
 * Returns the size of a result file.
 *
 * @param report - the job
 * @param kind - kind of the file
 * @returns size in bytes
 */
export const resultFileBytes = ({ tally }: JobReport, kind: ResultKind): number =>
  resultKinds[kind].bytes(tally);

const selectLines = (content: Buffer, kind: ResultKind): string =>
  content
    .toString('utf8')
    .split('\n')
    .filter((text) => text !== '')
    .filter(
      (text) => isSuccess(resultLine.parse(JSON.parse(text))) === resultKinds[kind].includesSuccess,
    )
    .map((text) => `${text}\n`)
    .join('');

const containsOnlyKind = ({ tally }: Chunk, kind: ResultKind): boolean =>
  tally !== undefined && resultKinds[kind].items(tally) === tally.succeeded + tally.failed;

/**
 * Opens a result file.
 *
 * @param objects - object store
 * @param report - a job that has the file
 * @param kind - kind of the file
 * @returns the lines in the order of the input; the stream emits an error if a chunk cannot be read
 */
export const openResultFile = async (
  objects: ObjectStore,
  { chunks }: JobReport,
  kind: ResultKind,
): Promise<Result<Readable, ReadFailure>> => {
  const selected = chunks.filter(
    ({ state, tally }) =>
      state === 'done' && tally !== undefined && resultKinds[kind].items(tally) > 0,
  );
  const readChunk = async (chunk: Chunk): Promise<Result<Buffer | string, ReadFailure>> => {
    const content = await objects.get(chunk.result ?? '');
    if (content.isErr()) return err(fromObjectFailure(content.error));
    return ok(containsOnlyKind(chunk, kind) ? content.value : selectLines(content.value, kind));
  };
  const [firstChunk, ...rest] = selected;
  if (!firstChunk) return ok(Readable.from([]));
  // The first chunk is read before the response starts, so that an outage can still be reported as a
  // refusal.
  const first = await readChunk(firstChunk);
  if (first.isErr()) return err(first.error);
  const concatenate = async function* concatenate() {
    yield first.value;
    for (const chunk of rest) {
      const content = await readChunk(chunk);
      if (content.isErr()) throw new Error(`failed to read results: ${content.error.kind}`);
      yield content.value;
    }
  };
  return ok(Readable.from(concatenate(), { objectMode: false }));
};
