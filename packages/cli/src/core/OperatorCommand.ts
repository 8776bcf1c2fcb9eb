/** Base class of the commands that use the operators' API. */
import { Flags } from '@oclif/core';
import { BaseCommand, type ConnectionFlags } from './BaseCommand.js';
import type { EntryHostClient } from './EntryHostClient.js';

/** A command that uses the operators' API. */
export abstract class OperatorCommand extends BaseCommand {
  static override baseFlags = {
    ...BaseCommand.baseFlags,
    credential: Flags.string({
      description: 'operator credential; set the variable instead to keep it out of process lists',
      env: 'JACINTHLUG_CREDENTIAL',
      required: true,
      helpGroup: 'CONNECTION',
    }),
  };

  /**
   * Creates a client of the entry host.
   *
   * @param flags - URL of the entry host, timeout and operator credential
   * @returns the client
   */
  protected static createClient(
    flags: ConnectionFlags & { readonly credential: string },
  ): EntryHostClient {
    return BaseCommand.createBearerClient(flags, flags.credential);
  }
}
