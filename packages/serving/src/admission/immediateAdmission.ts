/** Admission without a queue: a request that finds no room is refused at once. */
import type { Admission } from './Admission.js';

export const immediateAdmission: Admission = {
  describe: () => ({
    policy: 'immediate',
    ahead: 0,
    shareRatio: 1,
    onlyFreeSlots: false,
    wouldWait: false,
  }),
  place: ({ chooseTarget }) => chooseTarget(),
  retryWaiting: () => undefined,
};
