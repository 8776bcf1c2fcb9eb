/** Flag of the commands that change something through the operators' interface. */
import { Flags } from '@oclif/core';

/** The token that makes a repeated call take effect once. */
export const tokenFlag = Flags.string({
  description: 'token that an earlier run printed when its outcome stayed unknown; a new one else',
});
