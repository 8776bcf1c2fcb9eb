/** Creates the admission of a host from its policies. */
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { systemTimers } from '../online/IdleTimeout.js';
import type { AccountWork } from '../placement/AccountWork.js';
import type { ServiceTimes } from '../placement/ServiceTimes.js';
import { AccountShares, equalStanding, type ShareTable } from './AccountShares.js';
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
  readonly shares: ShareTable;
  readonly times: ServiceTimes;
  readonly gauge: RoomGauge;
  readonly metrics: Metrics;
}

const shareTables: Readonly<Record<SharePolicy, (work: AccountWork) => ShareTable>> = {
  none: () => equalStanding,
  fair: (work) => new AccountShares(work),
};

const admissions: Readonly<
  Record<AdmissionPolicy, (dependencies: AdmissionDependencies) => Admission>
> = {
  immediate: () => immediateAdmission,
  queue: ({ shares, times, gauge, metrics }) =>
    new AdmissionQueue({
      shares,
      times,
      isRoomShort: (service) => gauge.isShort(service),
      hasSlot: (target) => gauge.hasSlot(target),
      timers: systemTimers,
      random: Math.random,
      metrics,
    }),
};

/** Whether admission reads the times of services and the work of accounts, by policy. */
export const readsTimes: Readonly<Record<AdmissionPolicy, boolean>> = {
  immediate: false,
  queue: true,
};

/**
 * Creates the shares of the client accounts.
 *
 * @param policy - policy of the deployment
 * @param work - mean work of the accounts' requests
 * @returns the shares, without accounts
 */
export const createShares = (policy: SharePolicy, work: AccountWork): ShareTable =>
  shareTables[policy](work);

/**
 * Creates the admission of a host.
 *
 * @param policy - policy of the deployment
 * @param dependencies - state of the host
 * @returns the admission
 */
export const createAdmission = (
  policy: AdmissionPolicy,
  dependencies: AdmissionDependencies,
): Admission => admissions[policy](dependencies);
