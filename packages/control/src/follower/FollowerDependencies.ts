/** What the follower of the configuration is made of. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Table } from '@jacinthlug/backing/Table';
import type { Member } from '@jacinthlug/protocol/members';
import type { ReplicatedMembership } from '../membership/createMembership.js';
import type { PeerClient } from '../peers/PeerClient.js';
import type { ReplicatedSuspectList } from '../suspects/createSuspectList.js';
import type { Clock } from '../time/Clock.js';

/** What the follower needs. */
export interface FollowerDependencies {
  /** This process as the host list describes it. */
  readonly self: Member;
  readonly table: Table;
  readonly hostList: HostList;
  readonly membership: ReplicatedMembership;
  readonly suspects: ReplicatedSuspectList;
  readonly peers: PeerClient;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Uniform random numbers from 0 to 1, `Math.random` unless replaced. */
  readonly random?: () => number;
}
