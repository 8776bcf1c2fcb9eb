/** `jacinthlug host list`. */
import type { z } from 'zod';
import { hostsResponse } from '../../core/responses.js';
import { formatColumns } from '../../core/formatText.js';
import { OperatorCommand } from '../../core/OperatorCommand.js';

/** Lists the hosts of the fleet. */
export class HostList extends OperatorCommand {
  static override summary = 'List the hosts of the fleet.';

  static override examples = ['<%= config.bin %> <%= command.id %>'];

  override async run(): Promise<z.infer<typeof hostsResponse>> {
    const { flags } = await this.parse(HostList);
    const response = await OperatorCommand.createClient(flags).read(
      '/operator/v1/hosts',
      hostsResponse,
    );
    const rows = response.hosts.map((host) => [
      host.name,
      host.role,
      host.state,
      host.region,
      host.failureDomain,
      host.address,
      host.target === undefined ? '' : `${host.service ?? ''}/${host.target}`,
    ]);
    const heading = ['NAME', 'ROLE', 'STATE', 'REGION', 'FAILURE DOMAIN', 'ADDRESS', 'TARGET'];
    this.log(formatColumns([heading, ...rows]));
    return response;
  }
}
