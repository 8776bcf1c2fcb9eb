/** `jacinthlug batch submit`. */
import { randomUUID } from 'node:crypto';
import { openAsBlob } from 'node:fs';
import { basename } from 'node:path';
import { Args, Flags } from '@oclif/core';
import { ResultAsync } from 'neverthrow';
import { FormData } from 'undici';
import { batchResponse, fileResponse, type BatchResponse } from '../../core/responses.js';
import { CallerCommand } from '../../core/CallerCommand.js';
import { CommandFailure } from '../../core/CommandFailure.js';
import type { EntryHostClient } from '../../core/EntryHostClient.js';
import { exitCodes } from '../../core/exitCodes.js';
import { formatBatch } from '../../core/formatText.js';

const createUploadForm = async (path: string): Promise<FormData> => {
  // openAsBlob throws at once for a file that it cannot open.
  const open = ResultAsync.fromThrowable(openAsBlob, (fault) => fault as Error);
  const blob = await open(path);
  if (blob.isErr()) {
    const report = { code: 'input-unreadable', message: blob.error.message };
    throw new CommandFailure(report, exitCodes.invalid);
  }
  const form = new FormData();
  form.append('purpose', 'batch');
  form.append('file', blob.value, basename(path));
  return form;
};

/** Uploads the input; a repeat after an unknown outcome leaves a file that no job uses. */
const uploadInput = async (host: EntryHostClient, path: string): Promise<string> => {
  const { id } = await host.write({
    path: '/v1/files',
    body: await createUploadForm(path),
    isForm: true,
    schema: fileResponse,
    retryFlags: 'the same arguments',
  });
  return id;
};

/** Submits a batch job. */
export class BatchSubmit extends CallerCommand {
  static override summary = 'Submit a batch job.';

  static override description = `Uploads a JSONL file and creates a batch job from it. \
While the outcome is unknown the job is submitted again with the same idempotency key, and stays one job.`;

  static override examples = [
    '<%= config.bin %> <%= command.id %> orders.jsonl',
    '<%= config.bin %> <%= command.id %> orders.jsonl --metadata run=nightly --timeout 600',
    {
      description: 'Submit a file that was uploaded before:',
      command: '<%= config.bin %> <%= command.id %> --file-id file-abc --idempotency-key 7f3a',
    },
  ];

  static override args = {
    file: Args.string({ description: 'JSONL file, one item a line' }),
  };

  static override flags = {
    'file-id': Flags.string({ description: 'id of an uploaded file, in place of a file' }),
    endpoint: Flags.string({
      description: 'path that each item is sent to',
      default: '/v1/chat/completions',
    }),
    window: Flags.string({ description: 'completion window', default: '24h' }),
    metadata: Flags.string({
      description: 'name=value, kept with the job; can be given several times',
      multiple: true,
      default: [],
    }),
    'idempotency-key': Flags.string({
      description: 'names the submission, so that a repeat is the same job; a new one when absent',
    }),
  };

  override async run(): Promise<BatchResponse> {
    const { args, flags } = await this.parse(BatchSubmit);
    if ((args.file === undefined) === (flags['file-id'] === undefined)) {
      this.error('Give either a file or --file-id.', { exit: exitCodes.usage });
    }
    const host = CallerCommand.createClient(flags);
    const fileId = flags['file-id'] ?? (await uploadInput(host, args.file ?? ''));
    const idempotencyKey = flags['idempotency-key'] ?? randomUUID();
    const batch = await host.write({
      path: '/v1/batches',
      headers: { 'idempotency-key': idempotencyKey },
      body: {
        input_file_id: fileId,
        endpoint: flags.endpoint,
        completion_window: flags.window,
        metadata: this.parseMetadata(flags.metadata),
      },
      schema: batchResponse,
      retryFlags: `--file-id ${fileId} --idempotency-key ${idempotencyKey} in place of the file`,
    });
    this.log(formatBatch(batch));
    return batch;
  }

  private parseMetadata(pairs: readonly string[]): Record<string, string> {
    return Object.fromEntries(
      pairs.map((pair) => {
        const at = pair.indexOf('=');
        if (at < 1) this.error(`--metadata ${pair}: not name=value`, { exit: exitCodes.usage });
        return [pair.slice(0, at), pair.slice(at + 1)];
      }),
    );
  }
}
