/** `jacinthlug config plan`. */
import { diffDeclarations, type NodeChange } from '@jacinthlug/settings/tree/diffDeclarations';
import { Args } from '@oclif/core';
import { configurationResponse } from '../../core/responses.js';
import { formatChanges } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { readDeclarations } from '../../core/readDeclarations.js';

/** Result of `config plan --json`. */
interface Plan {
  readonly baseVersion: number;
  readonly changes: readonly NodeChange[];
}

/** Shows what a folder of declarations would change. */
export class ConfigPlan extends OperatorCommand {
  static override summary = 'Show what a folder of declarations would change.';

  static override description =
    'Checks the folder and compares it with the configuration in force, node by node. Changes nothing.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> deployments/norte',
    '<%= config.bin %> <%= command.id %> deployments/norte --json',
  ];

  static override args = {
    folder: Args.string({ description: 'folder of declarations', required: true }),
  };

  override async run(): Promise<Plan> {
    const { args, flags } = await this.parse(ConfigPlan);
    const declarations = await readDeclarations(args.folder);
    const client = OperatorCommand.createClient(flags);
    const { version, content } = await client.read(
      '/operator/v1/configuration',
      configurationResponse,
    );
    const changes = diffDeclarations(content.declarations, declarations);
    this.log(`Base version ${version}`);
    this.log(formatChanges(changes));
    return { baseVersion: version, changes };
  }
}
