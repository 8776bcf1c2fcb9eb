/** `jacinthlug batch results`. */
import { createWriteStream } from 'node:fs';
import { rename, rm } from 'node:fs/promises';
import type { Readable } from 'node:stream';
import { text } from 'node:stream/consumers';
import { pipeline } from 'node:stream/promises';
import { Args, Flags } from '@oclif/core';
import { ResultAsync } from 'neverthrow';
import { batchResponse, type BatchResponse } from '../../core/responses.js';
import { CallerCommand } from '../../core/CallerCommand.js';
import { CommandFailure } from '../../core/CommandFailure.js';
import { exitCodes } from '../../core/exitCodes.js';

/** Result of `batch results --json`. */
interface Results {
  readonly id: string;
  /** Parsed lines; absent when they were written to a file or to the standard output. */
  readonly results?: readonly unknown[];
  /** Path of the file that the lines were written to. */
  readonly output?: string;
}

const createTruncationFailure = (error: unknown): CommandFailure =>
  new CommandFailure(
    {
      code: 'results-cut',
      message: `The transfer of the results was interrupted: ${(error as Error).message}`,
      hint: 'Run the command again.',
    },
    exitCodes.unavailable,
  );

/** Waits for a transfer; throws a `CommandFailure` when it is interrupted. */
const awaitTransfer = async <Value>(transfer: Promise<Value>): Promise<Value> => {
  const result = await ResultAsync.fromPromise(transfer, createTruncationFailure);
  if (result.isErr()) throw result.error;
  return result.value;
};

/** Writes to a temporary file first, so that an interrupted transfer leaves no partial file. */
const saveToFile = async (stream: Readable, file: string): Promise<void> => {
  const partial = `${file}.partial`;
  try {
    await awaitTransfer(pipeline(stream, createWriteStream(partial)));
    await rename(partial, file);
  } finally {
    await rm(partial, { force: true });
  }
};

const getFileId = (batch: BatchResponse, wantsErrors: boolean): string => {
  const id = wantsErrors ? batch.error_file_id : batch.output_file_id;
  if (id) return id;
  const fileKind = wantsErrors ? 'errors' : 'results';
  const report = {
    code: 'no-results',
    message: `The job is ${batch.status} and has no ${fileKind}.`,
    hint: 'Run "batch status" to see its progress.',
  };
  throw new CommandFailure(report, exitCodes.notReady);
};

/** Reads the results of a batch job. */
export class BatchResults extends CallerCommand {
  static override summary = 'Read the results of a batch job.';

  static override description =
    'Writes one line of JSON for each item to the standard output or to a file.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> batch_abc > results.jsonl',
    '<%= config.bin %> <%= command.id %> batch_abc --output results.jsonl --timeout 600',
    '<%= config.bin %> <%= command.id %> batch_abc --errors',
  ];

  static override args = { id: Args.string({ description: 'id of the job', required: true }) };

  static override flags = {
    errors: Flags.boolean({
      description: 'write the errors of the failed items instead of the results',
    }),
    output: Flags.string({
      description: 'file to write; created only after the transfer has completed',
    }),
  };

  override async run(): Promise<Results> {
    const { args, flags } = await this.parse(BatchResults);
    const { id } = args;
    const { errors, output } = flags;
    const client = CallerCommand.createClient(flags);
    const batch = await client.read(`/v1/batches/${encodeURIComponent(id)}`, batchResponse);
    const fileId = getFileId(batch, errors);
    const stream = await client.openStream(`/v1/files/${encodeURIComponent(fileId)}/content`);
    if (output !== undefined) {
      await saveToFile(stream, output);
      this.log(`Written to ${output}`);
      return { id, output };
    }
    if (!this.jsonEnabled()) {
      await awaitTransfer(pipeline(stream, process.stdout, { end: false }));
      return { id };
    }
    const lines = (await awaitTransfer(text(stream))).split('\n').filter(Boolean);
    return { id, results: lines.map((line) => JSON.parse(line) as unknown) };
  }
}
