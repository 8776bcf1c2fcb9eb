/** `jacinthlug batch cancel`. */
import { Args } from '@oclif/core';
import { batchResponse, type BatchResponse } from '../../core/responses.js';
import { CallerCommand } from '../../core/CallerCommand.js';
import { formatBatch } from '../../core/formatText.js';

/** Cancels a batch job. */
export class BatchCancel extends CallerCommand {
  static override summary = 'Cancel a batch job.';

  static override description =
    'Results that were committed before the cancellation remain available.';

  static override examples = ['<%= config.bin %> <%= command.id %> batch_abc'];

  static override args = { id: Args.string({ description: 'id of the job', required: true }) };

  override async run(): Promise<BatchResponse> {
    const { args, flags } = await this.parse(BatchCancel);
    const batch = await CallerCommand.createClient(flags).write({
      path: `/v1/batches/${encodeURIComponent(args.id)}/cancel`,
      body: {},
      schema: batchResponse,
      retryFlags: 'the same arguments',
    });
    this.log(formatBatch(batch));
    return batch;
  }
}
