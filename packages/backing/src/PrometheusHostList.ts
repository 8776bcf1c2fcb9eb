/** Host list client for the Prometheus HTTP service discovery format. */
import { isIPv4 } from 'node:net';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { member, type Member } from '@jacinthlug/protocol/members';
import type { PlatformSettings } from '@jacinthlug/settings/process/hostSettings';
import { ResultAsync } from 'neverthrow';
import { request } from 'undici';
import * as z from 'zod';
import type { HostList, HostListFailure } from './HostList.js';

const OPERATION = 'hosts.list';
const MAX_PORT = 65_535;

const entries = z.array(z.unknown());

const isAddress = (address: string): boolean => {
  const [host = '', port = '', ...rest] = address.split(':');
  const isPort = /^[1-9]\d{0,4}$/.test(port) && Number(port) <= MAX_PORT;
  return isIPv4(host) && isPort && rest.length === 0;
};

/** Entry for one member; an agent must have a service and a target. */
const memberEntry = z
  .object({
    targets: z.tuple([z.string().refine(isAddress, 'not ip:port')]),
    labels: z.object({
      name: z.string().min(1),
      role: member.shape.role,
      failure_domain: z.string().min(1),
      region: z.string().min(1),
      state: member.shape.state,
      service: z.string().min(1).optional(),
      target: z.string().min(1).optional(),
    }),
  })
  .refine(
    ({ labels: { role, service, target } }) =>
      role !== 'agent' || (service !== undefined && target !== undefined),
    'an agent needs a service and a target',
  );

const toMember = ({ targets: [address], labels }: z.infer<typeof memberEntry>): Member => {
  const { failure_domain: failureDomain, ...rest } = labels;
  return { ...rest, address, failureDomain };
};

/** {@link HostList} that uses the Prometheus HTTP service discovery format. */
export class PrometheusHostList implements HostList {
  /**
   * @param settings - URL of the list and timeout
   * @param metrics - counts each call by its outcome
   */
  constructor(
    private readonly settings: PlatformSettings,
    private readonly metrics: Metrics,
  ) {}

  list(): ResultAsync<Member[], HostListFailure> {
    return ResultAsync.fromPromise(this.read(), (fault) => ({ message: String(fault) }))
      .map((members) => {
        this.metrics.count('platform.calls', { operation: OPERATION, outcome: 'ok' });
        return members;
      })
      .mapErr((failure) => {
        this.metrics.count('platform.calls', { operation: OPERATION, outcome: 'unavailable' });
        return failure;
      });
  }

  private async read(): Promise<Member[]> {
    const { statusCode, body } = await request(this.settings.hosts.url, {
      headers: { accept: 'application/json' },
      signal: AbortSignal.timeout(this.settings.callLimitMs),
    });
    if (statusCode !== 200) {
      await body.dump();
      throw new Error(`the host list responded with status ${statusCode}`);
    }
    return entries.parse(await body.json()).flatMap((entry) => {
      const parsed = memberEntry.safeParse(entry);
      return parsed.success ? [toMember(parsed.data)] : [];
    });
  }
}
