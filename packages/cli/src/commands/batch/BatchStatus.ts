/** `jacinthlug batch status`. */
import { Args } from '@oclif/core';
import { batchAnswer, type BatchAnswer } from '../../core/answers.js';
import { CallerCommand } from '../../core/CallerCommand.js';
import { formatBatch } from '../../core/formatText.js';

/** Shows the state of a batch job. */
export class BatchStatus extends CallerCommand {
  static override summary = 'Show the state of a batch job.';

  static override examples = ['<%= config.bin %> <%= command.id %> batch_abc'];

  static override args = { id: Args.string({ description: 'id of the job', required: true }) };

  override async run(): Promise<BatchAnswer> {
    const { args, flags } = await this.parse(BatchStatus);
    const path = `/v1/batches/${encodeURIComponent(args.id)}`;
    const batch = await CallerCommand.openHost(flags).read(path, batchAnswer);
    this.log(formatBatch(batch));
    return batch;
  }
}
