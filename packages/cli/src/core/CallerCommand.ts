/** Base of the commands that use the callers' interface. */
import { Flags } from '@oclif/core';
import { BaseCommand, type ConnectionFlags } from './BaseCommand.js';
import type { EntryHostClient } from './EntryHostClient.js';

/** A command that uses the callers' interface. */
export abstract class CallerCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    key: Flags.string({
      description: 'key of a client account; the variable keeps it out of process lists',
      env: 'JACINTHLUG_KEY',
      required: true,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Opens the client of the entry host.
   *
   * @param flags - where it is and the key
   * @returns the client
   */
  protected static createClient(
    flags: ConnectionFlags & { readonly key: string },
  ): EntryHostClient {
    return BaseCommand.createBearerClient(flags, flags.key);
  }
}
