/** Targets for tests of lists of targets. */
import type { Target } from '@jacinthlug/serving/fleet/Target';

/**
 * Creates a registered target that no test sends requests to.
 *
 * @param id - id of the target
 * @param bornAt - start of the target. Unit: ms
 * @returns the target
 */
export const createListedTarget = (id: string, bornAt = 1): Target => ({
  id,
  bornAt,
  service: 'chat',
  version: 'v1',
  address: '127.0.0.1:1',
  failureDomain: 'a',
  slots: 8,
  state: 'ready',
});
