/** `jacinthlug key list`. */
import { Flags } from '@oclif/core';
import type { z } from 'zod';
import { keysResponse } from '../../core/responses.js';
import { formatColumns, formatTime } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';

/** Lists the keys. */
export class KeyList extends OperatorCommand {
  static override summary = 'List the keys, including withdrawn ones.';

  static override examples = [
    '<%= config.bin %> <%= command.id %>',
    '<%= config.bin %> <%= command.id %> --account web',
  ];

  static override flags = {
    account: Flags.string({ description: 'only the keys of this client account' }),
  };

  override async run(): Promise<z.infer<typeof keysResponse>> {
    const { flags } = await this.parse(KeyList);
    const response = await OperatorCommand.createClient(flags).read(
      '/operator/v1/keys',
      keysResponse,
    );
    const keys = response.keys.filter(
      ({ account }) => flags.account === undefined || account === flags.account,
    );
    const rows = keys.map(({ id, account, state, changedAt }) => [
      id,
      account,
      state,
      formatTime(changedAt),
    ]);
    this.log(formatColumns([['ID', 'ACCOUNT', 'STATE', 'CHANGED'], ...rows]));
    return { keys };
  }
}
