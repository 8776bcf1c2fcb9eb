/** `jacinthlug host drain`. */
import { randomUUID } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import type { z } from 'zod';
import { versionResponse } from '../../core/responses.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { tokenFlag } from '../../core/tokenFlag.js';

/** Keeps new work from a host. */
export class HostDrain extends OperatorCommand {
  static override summary = 'Keep new work from a host, or give it work again.';

  static override description =
    'A drained host gets no new work within a few seconds; running requests end.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> agent-3',
    '<%= config.bin %> <%= command.id %> agent-3 --undo',
  ];

  static override args = {
    name: Args.string({ description: 'name of the host', required: true }),
  };

  static override flags = {
    undo: Flags.boolean({ description: 'give the host work again' }),
    token: tokenFlag,
  };

  override async run(): Promise<z.infer<typeof versionResponse>> {
    const { args, flags } = await this.parse(HostDrain);
    const { token = randomUUID(), undo } = flags;
    const answer = await OperatorCommand.createClient(flags).write({
      path: `/operator/v1/hosts/${encodeURIComponent(args.name)}/drain`,
      body: { drained: !undo, token },
      schema: versionResponse,
      retryFlags: `--token ${token}`,
    });
    const state = undo ? 'takes work again' : 'is drained';
    this.log(`Host ${args.name} ${state}, version ${answer.version}.`);
    return answer;
  }
}
