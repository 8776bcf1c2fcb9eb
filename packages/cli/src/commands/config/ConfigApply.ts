/** `jacinthlug config apply`. */
import { randomUUID } from 'node:crypto';
import type { Declarations } from '@jacinthlug/settings/tree/declarations';
import { diffDeclarations, type NodeChange } from '@jacinthlug/settings/tree/diffDeclarations';
import { Args, Flags } from '@oclif/core';
import { configurationResponse, versionResponse } from '../../core/responses.js';
import type { EntryHostClient } from '../../core/EntryHostClient.js';
import { formatChanges } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { readDeclarations } from '../../core/readDeclarations.js';
import { tokenFlag } from '../../core/tokenFlag.js';

/** Result of `config apply --json`. */
interface ApplyResult {
  readonly baseVersion: number;
  /** Version in force; the base version when nothing differed. */
  readonly version: number;
  /** Nodes that differed. Absent with `--base`, which skips the comparison. */
  readonly changes?: readonly NodeChange[];
}

/** Body of the request that submits an edit. */
interface Edit {
  readonly baseVersion: number;
  readonly declarations: Declarations;
  readonly token: string;
  readonly note?: string;
}

const postEdit = async (client: EntryHostClient, edit: Edit): Promise<number> => {
  const { version } = await client.write({
    path: '/operator/v1/configuration',
    body: { ...edit },
    schema: versionResponse,
    retryFlags: `--base ${edit.baseVersion} --token ${edit.token}`,
  });
  return version;
};

/** Applies a folder of declarations. */
export class ConfigApply extends OperatorCommand {
  static override summary = 'Apply a folder of declarations.';

  static override description = `Checks the folder and submits it as an edit of the version in force. \
If another edit was accepted in the meantime, it is not overwritten and the command exits with \
code 5. If the outcome is unknown, the same edit is retried with the same token.`;

  static override examples = [
    '<%= config.bin %> <%= command.id %> deployments/norte --note "raise the rate of web"',
    {
      description: 'Apply the edit only if version 12 is still in force:',
      command: '<%= config.bin %> <%= command.id %> deployments/norte --base 12',
    },
  ];

  static override args = {
    folder: Args.string({ description: 'folder of declarations', required: true }),
  };

  static override flags = {
    base: Flags.integer({
      description: 'version that the edit is based on; defaults to the version in force',
      min: 0,
    }),
    note: Flags.string({ description: 'reason for the edit, stored in the history' }),
    token: tokenFlag,
  };

  override async run(): Promise<ApplyResult> {
    const { args, flags } = await this.parse(ConfigApply);
    const declarations = await readDeclarations(args.folder);
    const client = OperatorCommand.createClient(flags);
    const { base, note, token = randomUUID() } = flags;
    const edit = { declarations, token, ...(note === undefined ? {} : { note }) };
    const applied =
      base === undefined
        ? await this.applyToCurrent(client, edit)
        : { baseVersion: base, version: await postEdit(client, { ...edit, baseVersion: base }) };
    this.log(`Version ${applied.version} is in force.`);
    return applied;
  }

  private async applyToCurrent(
    client: EntryHostClient,
    edit: Omit<Edit, 'baseVersion'>,
  ): Promise<ApplyResult> {
    const current = await client.read('/operator/v1/configuration', configurationResponse);
    const changes = diffDeclarations(current.content.declarations, edit.declarations);
    const baseVersion = current.version;
    this.log(formatChanges(changes));
    if (changes.length === 0) return { baseVersion, version: baseVersion, changes };
    return { baseVersion, version: await postEdit(client, { ...edit, baseVersion }), changes };
  }
}
