/** `jacinthlug key grant`. */
import { randomUUID } from 'node:crypto';
import { Args } from '@oclif/core';
import type { z } from 'zod';
import { grantResponse } from '../../core/responses.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { tokenFlag } from '../../core/tokenFlag.js';

/** Grants a key to a client account. */
export class KeyGrant extends OperatorCommand {
  static override summary = 'Grant a key to a client account.';

  static override description =
    'The secret is shown only once and cannot be read again. All hosts accept it within 3 s.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> web',
    '<%= config.bin %> <%= command.id %> web --json',
  ];

  static override args = {
    account: Args.string({ description: 'name of the client account', required: true }),
  };

  static override flags = { token: tokenFlag };

  override async run(): Promise<z.infer<typeof grantResponse>> {
    const { args, flags } = await this.parse(KeyGrant);
    const { token = randomUUID() } = flags;
    const granted = await OperatorCommand.createClient(flags).write({
      path: '/operator/v1/keys',
      body: { account: args.account, token },
      schema: grantResponse,
      retryFlags: `--token ${token}`,
    });
    this.log(`Key ${granted.id} of ${granted.account}, version ${granted.version}`);
    this.log(granted.secret);
    return granted;
  }
}
