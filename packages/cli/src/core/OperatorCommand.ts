/** Base of the commands that use the operators' interface. */
import { Flags } from '@oclif/core';
import { BaseCommand, type ConnectionFlags } from './BaseCommand.js';
import type { EntryHostClient } from './EntryHostClient.js';

/** A command that uses the operators' interface. */
export abstract class OperatorCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    credential: Flags.string({
      description: 'operator credential; the variable keeps it out of process lists',
      env: 'JACINTHLUG_CREDENTIAL',
      required: true,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Opens the client of the entry host.
   *
   * @param flags - where it is and the operator credential
   * @returns the client
   */
  protected static createClient(
    flags: ConnectionFlags & { readonly credential: string },
  ): EntryHostClient {
    return BaseCommand.createBearerClient(flags, flags.credential);
  }
}
