/** Output and error files of jobs, put together from the results of their chunks. */
import { Readable } from 'node:stream';
import type { ObjectStore } from '@jacinthlug/backing/ObjectStore';
import { err, ok, type Result } from 'neverthrow';
import { fromObjectFailure, type ReadFailure } from '../BatchFailure.js';
import type { Chunk, JobReport } from '../JobStore.js';
import type { Tally } from '../rows/rows.js';
import { isSuccess, resultLine } from './resultLine.js';

/** Kind of a result file: items that succeeded, or items that failed. */
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
 * Gives the id of a result file.
 *
 * @param job - job id
 * @param kind - kind of the file
 * @returns file id
 */
export const resultFileId = (job: string, kind: ResultKind): string =>
  `file-${kind}-${job.replace(/^batch_/, '')}`;

/**
 * Finds out whether a file id is that of a result file.
 *
 * @param id - file id
 * @returns job and kind; nothing for other files
 */
export const parseResultFileId = (id: string): ResultFile | undefined => {
  const match = idPattern.exec(id);
  if (!match) return undefined;
  return { kind: match[1] as ResultKind, job: `batch_${match[2]}` };
};

/**
 * Tells whether a job has a result file: the job has ended and the file is not empty.
 *
 * @param report - the job
 * @param kind - kind of the file
 * @returns whether it exists
 */
export const hasResultFile = ({ job, tally }: JobReport, kind: ResultKind): boolean =>
  job.state !== 'open' && resultKinds[kind].items(tally) > 0;

/**
 * Gives the size of a result file.
 *
 * @param report - the job
 * @param kind - kind of the file
 * @returns bytes
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
 * @returns the lines in the order of the input; the stream errors when a part cannot be read
 */
export const openResultFile = async (
  objects: ObjectStore,
  { chunks }: JobReport,
  kind: ResultKind,
): Promise<Result<Readable, ReadFailure>> => {
  const parts = chunks.filter(
    ({ state, tally }) =>
      state === 'done' && tally !== undefined && resultKinds[kind].items(tally) > 0,
  );
  const read = async (chunk: Chunk): Promise<Result<Buffer | string, ReadFailure>> => {
    const content = await objects.get(chunk.result ?? '');
    if (content.isErr()) return err(fromObjectFailure(content.error));
    return ok(containsOnlyKind(chunk, kind) ? content.value : selectLines(content.value, kind));
  };
  const [firstPart, ...rest] = parts;
  if (!firstPart) return ok(Readable.from([]));
  // The first part is read before the answer starts, so that an outage is told as a refusal.
  const first = await read(firstPart);
  if (first.isErr()) return err(first.error);
  const concatenate = async function* concatenate() {
    yield first.value;
    for (const part of rest) {
      const content = await read(part);
      if (content.isErr()) throw new Error(`results cannot be read: ${content.error.kind}`);
      yield content.value;
    }
  };
  return ok(Readable.from(concatenate(), { objectMode: false }));
};
