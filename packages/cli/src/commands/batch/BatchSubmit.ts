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
  // openAsBlob throws synchronously for a file that it cannot open.
  const open = ResultAsync.fromThrowable(openAsBlob, (error) => error as Error);
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

/** Uploads the input file. A retry after an unknown outcome can leave a file that no job uses. */
const uploadInput = async (client: EntryHostClient, path: string): Promise<string> => {
  const { id } = await client.write({
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
If the outcome is unknown, the submission is retried with the same idempotency key, so that at most \
one job is created.`;

  static override examples = [
    '<%= config.bin %> <%= command.id %> orders.jsonl',
    '<%= config.bin %> <%= command.id %> orders.jsonl --metadata run=nightly --timeout 600',
    {
      description: 'Submit a file that was uploaded before:',
      command: '<%= config.bin %> <%= command.id %> --file-id file-abc --idempotency-key 7f3a',
    },
  ];

  static override args = {
    file: Args.string({ description: 'JSONL file with one item per line' }),
  };

  static override flags = {
    'file-id': Flags.string({
      description: 'id of a file that was uploaded before, instead of FILE',
    }),
    endpoint: Flags.string({
      description: 'API path that each item is sent to',
      default: '/v1/chat/completions',
    }),
    window: Flags.string({ description: 'completion window', default: '24h' }),
    metadata: Flags.string({
      description: 'name=value, stored with the job; can be repeated',
      multiple: true,
      default: [],
    }),
    'idempotency-key': Flags.string({
      description:
        'idempotency key, generated when absent; a submission with the same key returns the same job',
    }),
  };

  override async run(): Promise<BatchResponse> {
    const { args, flags } = await this.parse(BatchSubmit);
    if ((args.file === undefined) === (flags['file-id'] === undefined)) {
      this.error('Give either a file or --file-id.', { exit: exitCodes.usage });
    }
    const client = CallerCommand.createClient(flags);
    const fileId = flags['file-id'] ?? (await uploadInput(client, args.file ?? ''));
    const idempotencyKey = flags['idempotency-key'] ?? randomUUID();
    const batch = await client.write({
      path: '/v1/batches',
      headers: { 'idempotency-key': idempotencyKey },
      body: {
        input_file_id: fileId,
        endpoint: flags.endpoint,
        completion_window: flags.window,
        metadata: this.parseMetadata(flags.metadata),
      },
      schema: batchResponse,
      retryFlags: `--file-id ${fileId} --idempotency-key ${idempotencyKey} instead of the file`,
    });
    this.log(formatBatch(batch));
    return batch;
  }

  private parseMetadata(pairs: readonly string[]): Record<string, string> {
    return Object.fromEntries(
      pairs.map((pair) => {
        const separatorIndex = pair.indexOf('=');
        if (separatorIndex < 1)
          this.error(`--metadata ${pair}: expected name=value`, { exit: exitCodes.usage });
        return [pair.slice(0, separatorIndex), pair.slice(separatorIndex + 1)];
      }),
    );
  }
}
