/** What the follower of the configuration is made of. */
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import type { HostList } from '@jacinthlug/backing/HostList';
import type { Table } from '@jacinthlug/backing/Table';
import type { Member } from '@jacinthlug/protocol/members';
import type { SpreadMembership } from '../membership/createMembership.js';
import type { PeerCalls } from '../peers/PeerCalls.js';
import type { SpreadSuspectList } from '../suspects/createSuspectList.js';
import type { Clock } from '../time/Clock.js';

/** What the follower needs. */
export interface FollowerParts {
  /** This process as the host list describes it. */
  readonly self: Member;
  readonly table: Table;
  readonly hostList: HostList;
  readonly membership: SpreadMembership;
  readonly suspects: SpreadSuspectList;
  readonly peers: PeerCalls;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
  /** Uniform random numbers from 0 to 1, `Math.random` unless replaced. */
  readonly random?: () => number;
}
