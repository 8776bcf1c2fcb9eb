/** `jacinthlug config get`. */
import type { Configuration } from '@jacinthlug/settings/tree/configuration';
import { configurationResponse } from '../../core/responses.js';
import { formatColumns, formatPath } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';

/** Shows the configuration in force. */
export class ConfigGet extends OperatorCommand {
  static override summary = 'Show the configuration in force.';

  static override examples = [
    '<%= config.bin %> <%= command.id %>',
    {
      description: 'Save the complete version as JSON:',
      command: '<%= config.bin %> <%= command.id %> --json > version.json',
    },
  ];

  override async run(): Promise<Configuration> {
    const { flags } = await this.parse(ConfigGet);
    const client = OperatorCommand.createClient(flags);
    const current = await client.read('/operator/v1/configuration', configurationResponse);
    const rows = Object.entries(current.content.declarations.nodes)
      .sort(([left], [right]) => (left < right ? -1 : 1))
      .map(([path, { kind, ...rest }]) => [formatPath(path), kind, JSON.stringify(rest)]);
    this.log(`Version ${current.version}`);
    this.log(formatColumns([['PATH', 'KIND', 'VALUES'], ...rows]));
    return current;
  }
}
