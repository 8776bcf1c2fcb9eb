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

  static override description = `Within 3 s, all hosts refuse the key and end the streams that use it. \
A withdrawn key cannot be granted again.`;

  static override examples = ['<%= config.bin %> <%= command.id %> k7f2'];

  static override args = {
    id: Args.string({ description: 'id of the key, not its secret', required: true }),
  };

  static override flags = { token: tokenFlag };

  override async run(): Promise<z.infer<typeof versionResponse>> {
    const { args, flags } = await this.parse(KeyWithdraw);
    const { token = randomUUID() } = flags;
    const response = await OperatorCommand.createClient(flags).write({
      path: `/operator/v1/keys/${encodeURIComponent(args.id)}/withdraw`,
      body: { token },
      schema: versionResponse,
      retryFlags: `--token ${token}`,
    });
    this.log(`Key ${args.id} is withdrawn, version ${response.version}.`);
    return response;
  }
}
