/** `jacinthlug config history`. */
import type { z } from 'zod';
import { historyResponse } from '../../core/responses.js';
import { formatColumns, formatTime } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';

/** Lists the accepted versions of the configuration. */
export class ConfigHistory extends OperatorCommand {
  static override summary = 'List the accepted versions of the configuration.';

  static override examples = ['<%= config.bin %> <%= command.id %>'];

  override async run(): Promise<z.infer<typeof historyResponse>> {
    const { flags } = await this.parse(ConfigHistory);
    const client = OperatorCommand.createClient(flags);
    const history = await client.read('/operator/v1/configuration/history', historyResponse);
    const rows = history.versions.map(({ version, acceptedAt, author, note }) => [
      String(version),
      formatTime(acceptedAt),
      author ?? '',
      note ?? '',
    ]);
    this.log(formatColumns([['VERSION', 'ACCEPTED', 'AUTHOR', 'NOTE'], ...rows]));
    return history;
  }
}
