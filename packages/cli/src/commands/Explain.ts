/** `jacinthlug explain`. */
import { Flags } from '@oclif/core';
import { CommandFailure, formatFailure, type FailureReport } from '../core/CommandFailure.js';
import { EntryHostClient } from '../core/EntryHostClient.js';
import type { ExitCode } from '../core/exitCodes.js';
import { formatExplanation } from '../core/formatExplanation.js';
import { explanation, type Explanation } from '../core/placementResponses.js';
import { ReportingCommand } from '../core/ReportingCommand.js';

/** Response of one host. */
type HostExplanation =
  | { readonly url: string; readonly explanation: Explanation }
  | { readonly url: string; readonly error: FailureReport & { readonly exitCode: ExitCode } };

/** Asks a host; its failure does not keep others from being asked. */
const ask = async (url: string, path: string, deadline: number): Promise<HostExplanation> => {
  try {
    return {
      url,
      explanation: await new EntryHostClient({ url, deadline }).read(path, explanation),
    };
  } catch (error) {
    if (!(error instanceof CommandFailure)) throw error;
    const { report, exitCode } = error;
    return { url, error: { ...report, exitCode } };
  }
};

/** Explains where a request or job would go. */
export class Explain extends ReportingCommand {
  static override summary =
    'Explain where a request or job would go now, and why, without sending it.';

  static override description =
    'Each host is asked at its metrics port and explains what it knows itself. Nothing is sent to targets, and no rate is used.';

  static override examples = [
    '<%= config.bin %> <%= command.id %> --url http://10.0.0.1:9464 --host shop.example --path /chat --account a',
    '<%= config.bin %> <%= command.id %> --url http://10.0.0.1:9464 --url http://10.0.0.2:9464 --job j-1 --account a --json',
  ];

  static override flags = {
    url: Flags.string({
      description: 'base URL of the metrics port of a host; may be repeated',
      env: 'JACINTHLUG_METRICS_URL',
      required: true,
      multiple: true,
      helpGroup: 'CONNECTION',
    }),
    timeout: Flags.integer({
      description: 'maximum duration of the command, in seconds',
      default: 30,
      min: 1,
      helpGroup: 'CONNECTION',
    }),
    host: Flags.string({
      description: 'value of the Host header of the request',
      dependsOn: ['path'],
      exactlyOne: ['host', 'job'],
    }),
    path: Flags.string({ description: 'path of the request', dependsOn: ['host'] }),
    job: Flags.string({ description: 'id of a batch job', dependsOn: ['account'] }),
    account: Flags.string({ description: 'name of the client account' }),
    version: Flags.string({
      description: 'version that began the stream which the request continues',
      exclusive: ['job'],
    }),
    'prompt-tokens': Flags.integer({
      description: 'tokens of the prompt',
      min: 0,
      dependsOn: ['max-output-tokens'],
      exclusive: ['job'],
    }),
    'max-output-tokens': Flags.integer({
      description: 'maximum number of output tokens',
      min: 0,
      dependsOn: ['prompt-tokens'],
      exclusive: ['job'],
    }),
    'prompt-part': Flags.string({
      description: 'id of a part of the prompt that other requests share; may be repeated',
      multiple: true,
      exclusive: ['job'],
    }),
  };

  override async run(): Promise<{ readonly hosts: readonly HostExplanation[] }> {
    const { flags } = await this.parse(Explain);
    const entries = Object.entries({
      host: flags.host,
      path: flags.path,
      job: flags.job,
      account: flags.account,
      version: flags.version,
      promptTokens: flags['prompt-tokens']?.toString(),
      maxOutputTokens: flags['max-output-tokens']?.toString(),
      promptParts: flags['prompt-part']?.join(','),
    }).filter((entry): entry is [string, string] => entry[1] !== undefined);
    const path = `/placement?${new URLSearchParams(entries).toString()}`;
    const deadline = performance.now() + flags.timeout * 1000;
    const hosts = await Promise.all(flags.url.map((url) => ask(url, path, deadline)));
    hosts.forEach((host) => {
      if ('explanation' in host) {
        this.log(formatExplanation(host.explanation));
        return;
      }
      process.exitCode ??= host.error.exitCode;
      if (!this.jsonEnabled()) this.logToStderr(`${host.url}: ${formatFailure(host.error)}`);
    });
    return { hosts };
  }
}
