/** Enforces the fleet-wide rate and burst of accounts (design 5.2). */
import { setMaxListeners } from 'node:events';
import type { Journal } from '@jacinthlug/catalog/Journal';
import type { Metrics } from '@jacinthlug/catalog/Metrics';
import { refuse, type Refusal } from '@jacinthlug/catalog/resultCodes';
import type { Table } from '@jacinthlug/backing/Table';
import type { Member } from '@jacinthlug/protocol/members';
import type { ShareResponse, ShareRequest } from '@jacinthlug/protocol/messages';
import type { Account } from '@jacinthlug/settings/tree/ResolvedConfiguration';
import { err, ok, type Result } from 'neverthrow';
import type { Follower } from '../follower/createFollower.js';
import type { Membership } from '../Membership.js';
import type { PeerClient } from '../peers/PeerClient.js';
import type { Permit, RateShares } from '../RateShares.js';
import type { Clock } from '../time/Clock.js';
import type { AccountLimits } from './createAccountAllocator.js';
import { createHome, type Home } from './createHome.js';
import { createHomeLease, type HomeLease } from './createHomeLease.js';
import { createHomeLocator } from './createHomeLocator.js';
import { createShardHolder, type HeldAccount, type ShardHolder } from './createShardHolder.js';
import { renewLeases } from './renewLeases.js';
import {
  LEASE_RENEWAL_INTERVAL_MS,
  SHARE_OUTAGE_EXTENSION_MS,
  SHARE_RESPONSE_TIMEOUT_MS,
} from './shareTiming.js';
import { rankHomeCandidates, getShard, SHARD_COUNT } from './shards.js';

/** Dependencies of {@link createRateShares}. */
export interface RateSharesDependencies {
  /** Entry of this process in the host list. */
  readonly self: Member;
  /** Identifies this start of the process, so that a restarted process is a different holder. */
  readonly incarnation: string;
  readonly table: Table;
  readonly membership: Membership;
  readonly follower: Follower;
  readonly peers: Pick<PeerClient, 'share'>;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** Components for one shard on this process. */
interface Shard {
  readonly lease: HomeLease;
  readonly home: Home;
  readonly holder: ShardHolder;
}

/** Maximum number of share requests that one client request may wait for. */
const MAX_SHARE_REQUESTS = 4;

/**
 * Maximum time that a request waits until a home is found. A shard has no home for a short time when a
 * fleet starts or a home is replaced; refusing at once would refuse callers within their rate. Unit: ms.
 */
const HOME_WAIT_TIMEOUT_MS = 2000;

/** Time between share requests while waiting for a home. Unit: ms. */
const HOME_RETRY_INTERVAL_MS = 100;

/** Time between checks for shares that are due for renewal. Unit: ms. */
const RENEWAL_CHECK_INTERVAL_MS = 500;

/** Time after which shares are extended in an outage, so that a short outage never extends one. Unit: ms. */
const OUTAGE_CONFIRMATION_MS = 3000;

/**
 * Creates the rate shares of an entry host.
 *
 * @param dependencies - table, peers, members and clock
 * @returns the rate shares, not started
 */
export const createRateShares = (dependencies: RateSharesDependencies): RateShares => {
  const { self, incarnation, table, membership, follower, peers, clock, metrics } = dependencies;
  const stopping = new AbortController();
  // Each task of each shard adds a listener to this signal, which exceeds the default limit.
  setMaxListeners(0, stopping.signal);
  const shards = new Map<number, Shard>();
  let tasks: Promise<unknown>[] = [];

  const getLimits = (account: string): AccountLimits | undefined =>
    follower.latest()?.accounts.get(account)?.settings;
  const listEntryHosts = (): Map<string, Member> =>
    new Map([...membership.liveEntries(), self].map((member) => [member.name, member]));
  const rankCandidateNames = (shard: number): string[] =>
    rankHomeCandidates(shard, [...listEntryHosts().keys()]);
  const listCandidateAddresses = (shard: number): string[] => {
    const hosts = listEntryHosts();
    return rankCandidateNames(shard).flatMap((name) => hosts.get(name)?.address ?? []);
  };
  const getCandidateRank = (shard: number): number | undefined => {
    const rank = rankCandidateNames(shard).indexOf(self.name);
    return rank < 0 ? undefined : rank;
  };
  const createShard = (shard: number): Shard => {
    const lease = createHomeLease({
      ...dependencies,
      shard,
      address: self.address,
      candidateRank: () => getCandidateRank(shard),
    });
    const accounts = (): string[] =>
      [...(follower.latest()?.accounts.keys() ?? [])].filter((name) => getShard(name) === shard);
    const home = createHome({ lease, clock, getLimits, accounts });
    const locator = createHomeLocator({
      shard,
      table,
      listCandidates: () => listCandidateAddresses(shard),
    });
    const send = async (
      request: ShareRequest,
      failures: number,
    ): ReturnType<PeerClient['share']> => {
      if (lease.inForce()) return ok(home.handleRequest(request));
      const address = await locator.findAddress(failures);
      if (address === undefined || address === self.address) {
        locator.recordHome(lease.homeAddress());
        return ok<ShareResponse>({ kind: 'not-home' });
      }
      const response = await peers.share(address, request, SHARE_RESPONSE_TIMEOUT_MS);
      const isHome = response.isOk() && response.value.kind === 'granted';
      const hint =
        response.isOk() && response.value.kind === 'not-home' ? response.value.home : undefined;
      locator.recordHome(isHome ? address : hint);
      return response;
    };
    const holder = createShardHolder({
      shard,
      incarnation,
      clock,
      metrics,
      getLimits,
      send,
    });
    return { lease, home, holder };
  };
  const getOrCreateShard = (number: number): Shard => {
    const known = shards.get(number);
    if (known) return known;
    const created = createShard(number);
    shards.set(number, created);
    return created;
  };

  const renewLeasesPeriodically = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const startedAt = clock.now();
      const renewals = [...shards.values()].flatMap(({ lease }) => lease.prepareRenewal() ?? []);
      await renewLeases({ table, clock }, renewals);
      await clock.sleep(startedAt + LEASE_RENEWAL_INTERVAL_MS - clock.now(), stopping.signal);
    }
  };
  const pollLeasePeriodically = async (number: number): Promise<void> => {
    // Distributes the reads of the shards' leases over the interval.
    await clock.sleep((LEASE_RENEWAL_INTERVAL_MS * number) / SHARD_COUNT, stopping.signal);
    while (!stopping.signal.aborted) {
      const startedAt = clock.now();
      await getOrCreateShard(number).lease.poll();
      // Candidates after the first one read the lease half as often, to reduce the number of reads.
      const factor = (getCandidateRank(number) ?? 0) > 0 ? 2 : 1;
      await clock.sleep(
        startedAt + LEASE_RENEWAL_INTERVAL_MS * factor - clock.now(),
        stopping.signal,
      );
    }
  };
  const renewSharesPeriodically = async (number: number): Promise<void> => {
    while (!stopping.signal.aborted) {
      await getOrCreateShard(number).holder.renewShares();
      await clock.sleep(RENEWAL_CHECK_INTERVAL_MS, stopping.signal);
    }
  };
  const extendSharesInOutage = async (): Promise<void> => {
    let outageSince: number | undefined;
    let checkedAt = clock.now();
    while (!stopping.signal.aborted) {
      const now = clock.now();
      const wasPaused = now - checkedAt > 2 * RENEWAL_CHECK_INTERVAL_MS;
      const isOutage = follower.mode() === 'outage';
      outageSince = isOutage && !wasPaused ? (outageSince ?? now) : undefined;
      checkedAt = now;
      if (outageSince !== undefined && now - outageSince >= OUTAGE_CONFIRMATION_MS) {
        shards.forEach(({ holder }) => holder.extendShares(now + SHARE_OUTAGE_EXTENSION_MS));
      }
      await clock.sleep(RENEWAL_CHECK_INTERVAL_MS, stopping.signal);
    }
  };

  const createRefusal = (account: HeldAccount): Refusal => {
    const waitMs = Math.max(0, account.share.nextTokenDelayMs());
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMs / 1000));
    return refuse(account.share.isCurrent() ? 'rate-exceeded' : 'rate-unavailable', {
      retryAfterSeconds,
    });
  };
  return {
    async acquire({ name }): Promise<Result<Permit, Refusal>> {
      const number = getShard(name);
      const { holder } = getOrCreateShard(number);
      const account = holder.getAccount(name);
      account.arrivals.recordArrival();
      const waitUntil = clock.now() + HOME_WAIT_TIMEOUT_MS;
      for (let responses = 0; responses <= MAX_SHARE_REQUESTS;) {
        const generation = account.share.takeToken();
        if (generation !== undefined) return ok({ shard: number, generation });
        if (await holder.requestTokens(account)) {
          responses += 1;
          continue;
        }
        if (account.share.isCurrent() || clock.now() >= waitUntil || stopping.signal.aborted) break;
        await clock.sleep(HOME_RETRY_INTERVAL_MS, stopping.signal);
      }
      holder.recordRefusal(account);
      return err(createRefusal(account));
    },
    refund({ name }: Account, { shard: number, generation }) {
      getOrCreateShard(number).holder.getAccount(name).share.refundToken(generation);
    },
    handleRequest: (request) =>
      Promise.resolve(getOrCreateShard(request.shard).home.handleRequest(request)),
    start() {
      const numbers = Array.from({ length: SHARD_COUNT }, (_, number) => number);
      tasks = [
        renewLeasesPeriodically(),
        ...numbers.map(pollLeasePeriodically),
        ...numbers.map(renewSharesPeriodically),
        extendSharesInOutage(),
      ];
    },
    async stop() {
      stopping.abort();
      await Promise.all([...shards.values()].map(({ holder }) => holder.releaseShares()));
      await Promise.all([...shards.values()].map(({ lease, home }) => lease.release(home.getFree)));
      await Promise.all(tasks);
    },
  };
};
