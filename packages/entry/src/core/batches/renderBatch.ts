/** Renders jobs and files as objects of the OpenAI API. */
import type { JobReport } from '@jacinthlug/batch/JobStore';
import {
  hasResultFile,
  resultFileBytes,
  resultFileId,
  type ResultKind,
} from '@jacinthlug/batch/results/resultFiles';
import type { FileRecord, Job } from '@jacinthlug/batch/rows/rows';

const MS_PER_SECOND = 1000;

const toSeconds = (time: number): number => Math.floor(time / MS_PER_SECOND);

const statuses: Readonly<Record<Job['state'], string>> = {
  open: 'in_progress',
  cancelled: 'cancelled',
  completed: 'completed',
};

const renderEndTimes: Readonly<Record<Job['state'], (endedAt: number) => object>> = {
  open: () => ({}),
  cancelled: (endedAt) => ({ cancelling_at: endedAt, cancelled_at: endedAt }),
  completed: (endedAt) => ({ finalizing_at: endedAt, completed_at: endedAt }),
};

const renderFileField = (report: JobReport, kind: ResultKind, field: string): object =>
  hasResultFile(report, kind) ? { [field]: resultFileId(report.job.id, kind) } : {};

/**
 * Renders a job as an OpenAI batch object.
 *
 * @param report - the job with its totals
 * @returns the batch object
 */
export const renderBatch = (report: JobReport): { readonly id: string } => {
  const { job, tally } = report;
  return {
    id: job.id,
    object: 'batch',
    endpoint: job.endpoint,
    model: job.model,
    errors: null,
    input_file_id: job.inputFile,
    completion_window: job.window,
    status: statuses[job.state],
    created_at: toSeconds(job.createdAt),
    in_progress_at: toSeconds(job.createdAt),
    expires_at: toSeconds(job.dueAt),
    ...renderEndTimes[job.state](toSeconds(job.endedAt ?? job.createdAt)),
    ...renderFileField(report, 'output', 'output_file_id'),
    ...renderFileField(report, 'error', 'error_file_id'),
    request_counts: { total: job.items, completed: tally.succeeded, failed: tally.failed },
    metadata: job.metadata,
  } as { readonly id: string };
};

/** OpenAI file object. */
export interface FileObject {
  readonly id: string;
  readonly object: 'file';
  readonly bytes: number;
  readonly created_at: number;
  readonly filename: string;
  readonly purpose: string;
  readonly status: 'processed';
}

/**
 * Renders an uploaded file.
 *
 * @param file - record of the file
 * @returns the file object
 */
export const renderFile = ({
  id,
  bytes,
  createdAt,
  filename,
  purpose,
}: FileRecord): FileObject => ({
  id,
  object: 'file',
  bytes,
  created_at: toSeconds(createdAt),
  filename,
  purpose,
  status: 'processed',
});

/**
 * Renders a result file of a job.
 *
 * @param report - a job that has the file
 * @param kind - kind of the file
 * @returns the file object
 */
export const renderResultFile = (report: JobReport, kind: ResultKind): FileObject => ({
  id: resultFileId(report.job.id, kind),
  object: 'file',
  bytes: resultFileBytes(report, kind),
  created_at: toSeconds(report.job.endedAt ?? report.job.createdAt),
  filename: `${report.job.id}_${kind}.jsonl`,
  purpose: 'batch_output',
  status: 'processed',
});
