/** `jacinthlug batch status`. */
import { Args } from '@oclif/core';
import { batchResponse, type BatchResponse } from '../../core/responses.js';
import { CallerCommand } from '../../core/CallerCommand.js';
import { formatBatch } from '../../core/formatText.js';

/** Shows the state of a batch job. */
export class BatchStatus extends CallerCommand {
  static override summary = 'Show the state of a batch job.';

  static override examples = ['<%= config.bin %> <%= command.id %> batch_abc'];

  static override args = { id: Args.string({ description: 'id of the job', required: true }) };

  override async run(): Promise<BatchResponse> {
    const { args, flags } = await this.parse(BatchStatus);
    const path = `/v1/batches/${encodeURIComponent(args.id)}`;
    const batch = await CallerCommand.createClient(flags).read(path, batchResponse);
    this.log(formatBatch(batch));
    return batch;
  }
}
