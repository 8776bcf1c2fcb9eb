/** Base class of the commands that call an entry host: common flags. */
import { Flags } from '@oclif/core';
import { EntryHostClient } from './EntryHostClient.js';
import { ReportingCommand } from './ReportingCommand.js';

/** Values of the flags that describe the connection to an entry host. */
export interface ConnectionFlags {
  readonly url: string;
  /** Maximum duration of the command. Unit: seconds. */
  readonly timeout: number;
}

/** A command that calls an entry host. */
export abstract class BaseCommand extends ReportingCommand {
  static override baseFlags = {
    url: Flags.string({
      description: 'base URL of an entry host',
      env: 'JACINTHLUG_URL',
      required: true,
      helpGroup: 'CONNECTION',
    }),
    timeout: Flags.integer({
      description: 'maximum duration of the command, in seconds',
      default: 30,
      min: 1,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Creates a client of the entry host.
   *
   * @param flags - URL of the entry host and timeout
   * @param bearer - operator credential or key, sent as a bearer token
   * @returns the client
   */
  protected static createBearerClient(
    { url, timeout }: ConnectionFlags,
    bearer: string,
  ): EntryHostClient {
    return new EntryHostClient({ url, bearer, deadline: performance.now() + timeout * 1000 });
  }
}
