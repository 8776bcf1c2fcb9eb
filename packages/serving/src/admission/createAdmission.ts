/** Creates the admission of a host from its policies. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { systemTimers } from '../online/IdleTimeout.js';
import type { AccountShares, ShareTable } from './AccountShares.js';
import { equalStanding } from './AccountShares.js';
import type { Admission } from './Admission.js';
import { AdmissionQueue } from './AdmissionQueue.js';
import { immediateAdmission } from './immediateAdmission.js';
import type { RoomGauge } from './RoomGauge.js';

/** What happens to a request that finds no room. */
export type AdmissionPolicy = 'immediate' | 'queue';

/** Whose requests are served while room is short. */
export type SharePolicy = 'none' | 'fair';

/** Policies for online requests under load. */
export interface AdmissionPolicies {
  readonly admission: AdmissionPolicy;
  /** Takes effect only with a queue. */
  readonly shares: SharePolicy;
}

/** Dependencies of {@link createAdmission}. */
export interface AdmissionDependencies {
  readonly accountShares: AccountShares;
  readonly gauge: RoomGauge;
  readonly metrics: Metrics;
}

const shareTables: Readonly<Record<SharePolicy, (shares: AccountShares) => ShareTable>> = {
  none: () => equalStanding,
  fair: (shares) => shares,
};

const admissions: Readonly<
  Record<AdmissionPolicy, (shares: ShareTable, dependencies: AdmissionDependencies) => Admission>
> = {
  immediate: () => immediateAdmission,
  queue: (shares, { gauge, metrics }) =>
    new AdmissionQueue({
      shares,
      isRoomShort: (service) => gauge.isShort(service),
      hasSlot: (target) => gauge.hasSlot(target),
      timers: systemTimers,
      random: Math.random,
      metrics,
    }),
};

/**
 * Creates the admission of a host.
 *
 * @param policies - policies of the deployment
 * @param dependencies - state of the host
 * @returns the admission
 */
export const createAdmission = (
  { admission, shares }: AdmissionPolicies,
  dependencies: AdmissionDependencies,
): Admission =>
  admissions[admission](shareTables[shares](dependencies.accountShares), dependencies);
