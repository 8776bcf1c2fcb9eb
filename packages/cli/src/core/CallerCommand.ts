/** Base class of the commands that use the callers' API. */
import { Flags } from '@oclif/core';
import { BaseCommand, type ConnectionFlags } from './BaseCommand.js';
import type { EntryHostClient } from './EntryHostClient.js';

/** A command that uses the callers' API. */
export abstract class CallerCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    key: Flags.string({
      description:
        'key of a client account; set the variable instead to keep it out of process lists',
      env: 'JACINTHLUG_KEY',
      required: true,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Creates a client of the entry host.
   *
   * @param flags - URL of the entry host, timeout and key
   * @returns the client
   */
  protected static createClient(
    flags: ConnectionFlags & { readonly key: string },
  ): EntryHostClient {
    return BaseCommand.createBearerClient(flags, flags.key);
  }
}
