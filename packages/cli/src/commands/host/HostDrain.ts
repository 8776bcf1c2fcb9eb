/** `jacinthlug host drain`. */
import { randomUUID } from 'node:crypto';
import { Args, Flags } from '@oclif/core';
import type { z } from 'zod';
import { versionResponse } from '../../core/responses.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';
import { tokenFlag } from '../../core/tokenFlag.js';

/** Drains a host, or ends its drain. */
export class HostDrain extends OperatorCommand {
  static override summary = 'Drain a host, or end its drain.';

  static override description =
    'A drained host receives no new work after a few seconds; requests that are running continue to their end.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> agent-3',
    '<%= config.bin %> <%= command.id %> agent-3 --undo',
  ];

  static override args = {
    name: Args.string({ description: 'name of the host', required: true }),
  };

  static override flags = {
    undo: Flags.boolean({ description: 'end the drain, so that the host receives work again' }),
    token: tokenFlag,
  };

  override async run(): Promise<z.infer<typeof versionResponse>> {
    const { args, flags } = await this.parse(HostDrain);
    const { token = randomUUID(), undo } = flags;
    const response = await OperatorCommand.createClient(flags).write({
      path: `/operator/v1/hosts/${encodeURIComponent(args.name)}/drain`,
      body: { drained: !undo, token },
      schema: versionResponse,
      retryFlags: `--token ${token}`,
    });
    const state = undo ? 'takes work again' : 'is drained';
    this.log(`Host ${args.name} ${state}, version ${response.version}.`);
    return response;
  }
}
