/** `jacinthlug status`. */
import type { z } from 'zod';
import { statusResponse } from '../core/responses.js';
import { formatColumns } from '../core/formatText.js';
import { OperatorCommand } from '../core/OperatorCommand.js';

/** Shows the state of the entry host. */
export class Status extends OperatorCommand {
  static override summary = 'Show the state of the entry host.';

  static override examples = [
    '<%= config.bin %> <%= command.id %>',
    '<%= config.bin %> <%= command.id %> --url http://10.0.0.1:8080 --json',
  ];

  override async run(): Promise<z.infer<typeof statusResponse>> {
    const { flags } = await this.parse(Status);
    const status = await OperatorCommand.createClient(flags).read(
      '/operator/v1/status',
      statusResponse,
    );
    const rows = Object.entries(status).map(([name, value]) => [
      name,
      typeof value === 'string' ? value : JSON.stringify(value),
    ]);
    this.log(formatColumns(rows));
    return status;
  }
}
