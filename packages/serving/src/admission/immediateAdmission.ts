/** Admission without a queue: a request that finds no room is refused at once. */
import type { Admission } from './Admission.js';

export const immediateAdmission: Admission = {
  place: ({ chooseTarget }) => chooseTarget(),
  retryWaiting: () => undefined,
};
