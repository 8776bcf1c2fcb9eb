/** Flag of the commands that change something through the operators' API. */
import { Flags } from '@oclif/core';

/** Idempotency token: a retry with the same token takes effect only once. */
export const tokenFlag = Flags.string({
  description:
    'idempotency token, generated when absent; to retry a run whose outcome is unknown, pass the token that it printed',
});
