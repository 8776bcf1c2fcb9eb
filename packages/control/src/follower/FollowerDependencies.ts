/** Dependencies of the configuration follower, shared by its tasks. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Table } from '@jacinthlug/backing/Table';
import type { Member } from '@jacinthlug/protocol/members';
import type { ReplicatedMembership } from '../membership/createMembership.js';
import type { PeerClient } from '../peers/PeerClient.js';
import type { ReplicatedSuspectList } from '../suspects/createSuspectList.js';
import type { Clock } from '../time/Clock.js';

/** Dependencies of the configuration follower. */
export interface FollowerDependencies {
  /** Entry of this process in the host list. */
  readonly self: Member;
  readonly table: Table;
  readonly hostList: HostList;
  readonly membership: ReplicatedMembership;
  readonly suspects: ReplicatedSuspectList;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Returns uniform random numbers from 0 to 1; `Math.random` by default. */
  readonly random?: () => number;
}
