/** Base of the commands that use the callers' interface. */
import { Flags } from '@oclif/core';
import { BaseCommand, type ConnectionFlags } from './BaseCommand.js';
import type { EntryHost } from './EntryHost.js';

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
  protected static openHost(flags: ConnectionFlags & { readonly key: string }): EntryHost {
    return BaseCommand.connect(flags, flags.key);
  }
}
