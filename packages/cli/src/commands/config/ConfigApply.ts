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
  /** Nodes that differed; absent with `--base`, which skips the comparison. */
  readonly changes?: readonly NodeChange[];
}

/** An edit as it is sent. */
interface Edit {
  readonly baseVersion: number;
  readonly declarations: Declarations;
  readonly token: string;
  readonly note?: string;
}

const postEdit = async (host: EntryHostClient, edit: Edit): Promise<number> => {
  const { version } = await host.write({
    path: '/operator/v1/configuration',
    body: { ...edit },
    schema: versionResponse,
    retryFlags: `--base ${edit.baseVersion} --token ${edit.token}`,
  });
  return version;
};

/** Puts a folder of declarations in force. */
export class ConfigApply extends OperatorCommand {
  static override summary = 'Put a folder of declarations in force.';

  static override description = `Checks the folder and sends it as an edit of the version in force. \
An edit of another operator that was accepted meanwhile is never overwritten: the command then ends \
with exit code 5. While the outcome is unknown the same edit is sent again with the same token.`;

  static override examples = [
    '<%= config.bin %> <%= command.id %> deployments/norte --note "raise the rate of web"',
    {
      description: 'Apply exactly what was planned on version 12:',
      command: '<%= config.bin %> <%= command.id %> deployments/norte --base 12',
    },
  ];

  static override args = {
    folder: Args.string({ description: 'folder of declarations', required: true }),
  };

  static override flags = {
    base: Flags.integer({
      description: 'version that the edit is based on; the version in force when absent',
      min: 0,
    }),
    note: Flags.string({ description: 'reason, kept in the history' }),
    token: tokenFlag,
  };

  override async run(): Promise<ApplyResult> {
    const { args, flags } = await this.parse(ConfigApply);
    const declarations = await readDeclarations(args.folder);
    const host = OperatorCommand.createClient(flags);
    const { base, note, token = randomUUID() } = flags;
    const edit = { declarations, token, ...(note === undefined ? {} : { note }) };
    const applied =
      base === undefined
        ? await this.applyToCurrent(host, edit)
        : { baseVersion: base, version: await postEdit(host, { ...edit, baseVersion: base }) };
    this.log(`Version ${applied.version} is in force.`);
    return applied;
  }

  private async applyToCurrent(
    host: EntryHostClient,
    edit: Omit<Edit, 'baseVersion'>,
  ): Promise<ApplyResult> {
    const current = await host.read('/operator/v1/configuration', configurationResponse);
    const changes = diffDeclarations(current.content.declarations, edit.declarations);
    const baseVersion = current.version;
    this.log(formatChanges(changes));
    if (changes.length === 0) return { baseVersion, version: baseVersion, changes };
    return { baseVersion, version: await postEdit(host, { ...edit, baseVersion }), changes };
  }
}
