/** `jacinthlug key withdraw`. */
import { randomUUID } from 'node:crypto';
import { Args } from '@oclif/core';
import type { z } from 'zod';
import { versionResponse } from '../../core/responses.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { tokenFlag } from '../../core/tokenFlag.js';

/** Withdraws a key. */
export class KeyWithdraw extends OperatorCommand {
  static override summary = 'Withdraw a key.';

  static override description = `Hosts refuse the key within 3 s and end its streams. \
A withdrawn key cannot be granted again.`;

  static override examples = ['<%= config.bin %> <%= command.id %> k7f2'];

  static override args = {
    id: Args.string({ description: 'id of the key, not its secret', required: true }),
  };

  static override flags = { token: tokenFlag };

  override async run(): Promise<z.infer<typeof versionResponse>> {
    const { args, flags } = await this.parse(KeyWithdraw);
    const { token = randomUUID() } = flags;
    const answer = await OperatorCommand.createClient(flags).write({
      path: `/operator/v1/keys/${encodeURIComponent(args.id)}/withdraw`,
      body: { token },
      schema: versionResponse,
      retryFlags: `--token ${token}`,
    });
    this.log(`Key ${args.id} is withdrawn, version ${answer.version}.`);
    return answer;
  }
}
