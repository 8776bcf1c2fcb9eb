/** Counts requests against the fleet-wide rate and burst of accounts (design 5.2). */
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

/** What the rate shares need. */
export interface RateSharesDependencies {
  /** This process as the host list describes it. */
  readonly self: Member;
  /** Name and start of this process, so that a restarted one is another holder. */
  readonly incarnation: string;
  readonly table: Table;
  readonly membership: Membership;
  readonly follower: Follower;
  readonly peers: Pick<PeerClient, 'share'>;
  readonly clock: Clock;
  readonly journal: Journal;
  readonly metrics: Metrics;
}

/** The parts of one shard on this process. */
interface Shard {
  readonly lease: HomeLease;
  readonly home: Home;
  readonly holder: ShardHolder;
}

/** Questions that one request may wait for. */
const MAX_SHARE_REQUESTS = 4;

/**
 * Longest wait of a request for a home to be found. A shard has no home for a moment when a fleet
 * starts or a home is replaced; refusing at once would refuse callers within their rate. Unit: ms.
 */
const HOME_WAIT_TIMEOUT_MS = 2000;

/** Time between questions during that wait. Unit: ms. */
const HOME_RETRY_INTERVAL_MS = 100;

/** Time between looks at the shares that are due. Unit: ms. */
const RENEWAL_CHECK_INTERVAL_MS = 500;

/** An outage counts after this time, so that a short one never extends a share. Unit: ms. */
const OUTAGE_CONFIRMATION_MS = 3000;

/**
 * Creates the rate shares of an entry host.
 *
 * @param parts - table, peers, members and time
 * @returns the rate shares, not started
 */
export const createRateShares = (parts: RateSharesDependencies): RateShares => {
  const { self, incarnation, table, membership, follower, peers, clock, metrics } = parts;
  const stopping = new AbortController();
  // Each task of each shard waits with this signal.
  setMaxListeners(0, stopping.signal);
  const shards = new Map<number, Shard>();
  let tasks: Promise<unknown>[] = [];

  const limitsOf = (account: string): AccountLimits | undefined =>
    follower.latest()?.accounts.get(account)?.settings;
  const entryHosts = (): Map<string, Member> =>
    new Map([...membership.liveEntries(), self].map((member) => [member.name, member]));
  const candidateNames = (shard: number): string[] =>
    rankHomeCandidates(shard, [...entryHosts().keys()]);
  const candidateAddresses = (shard: number): string[] => {
    const hosts = entryHosts();
    return candidateNames(shard).flatMap((name) => hosts.get(name)?.address ?? []);
  };
  const candidateRank = (shard: number): number | undefined => {
    const rank = candidateNames(shard).indexOf(self.name);
    return rank < 0 ? undefined : rank;
  };
  const createShard = (shard: number): Shard => {
    const lease = createHomeLease({
      ...parts,
      shard,
      address: self.address,
      candidateRank: () => candidateRank(shard),
    });
    const accounts = (): string[] =>
      [...(follower.latest()?.accounts.keys() ?? [])].filter((name) => getShard(name) === shard);
    const home = createHome({ lease, clock, getLimits: limitsOf, accounts });
    const route = createHomeLocator({
      shard,
      table,
      listCandidates: () => candidateAddresses(shard),
    });
    const send = async (
      question: ShareRequest,
      failures: number,
    ): ReturnType<PeerClient['share']> => {
      if (lease.inForce()) return ok(home.handleRequest(question));
      const address = await route.findAddress(failures);
      if (address === undefined || address === self.address) {
        route.recordHome(lease.homeAddress());
        return ok<ShareResponse>({ kind: 'not-home' });
      }
      const answer = await peers.share(address, question, SHARE_RESPONSE_TIMEOUT_MS);
      const isHome = answer.isOk() && answer.value.kind === 'granted';
      const hint =
        answer.isOk() && answer.value.kind === 'not-home' ? answer.value.home : undefined;
      route.recordHome(isHome ? address : hint);
      return answer;
    };
    const holder = createShardHolder({
      shard,
      incarnation,
      clock,
      metrics,
      getLimits: limitsOf,
      send,
    });
    return { lease, home, holder };
  };
  const shard = (number: number): Shard => {
    const known = shards.get(number);
    if (known) return known;
    const created = createShard(number);
    shards.set(number, created);
    return created;
  };

  const renewHeldLeases = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      const startedAt = clock.now();
      const renewals = [...shards.values()].flatMap(({ lease }) => lease.prepareRenewal() ?? []);
      await renewLeases({ table, clock }, renewals);
      await clock.sleep(startedAt + LEASE_RENEWAL_INTERVAL_MS - clock.now(), stopping.signal);
    }
  };
  const watchLease = async (number: number): Promise<void> => {
    // Spreads the looks at the shards over the period.
    await clock.sleep((LEASE_RENEWAL_INTERVAL_MS * number) / SHARD_COUNT, stopping.signal);
    while (!stopping.signal.aborted) {
      const startedAt = clock.now();
      await shard(number).lease.poll();
      // Later candidates look half as often, which halves the reads.
      const factor = (candidateRank(number) ?? 0) > 0 ? 2 : 1;
      await clock.sleep(
        startedAt + LEASE_RENEWAL_INTERVAL_MS * factor - clock.now(),
        stopping.signal,
      );
    }
  };
  const renewShares = async (number: number): Promise<void> => {
    while (!stopping.signal.aborted) {
      await shard(number).holder.renewShares();
      await clock.sleep(RENEWAL_CHECK_INTERVAL_MS, stopping.signal);
    }
  };
  const extendShares = async (): Promise<void> => {
    let outageSince: number | undefined;
    let lookedAt = clock.now();
    while (!stopping.signal.aborted) {
      const now = clock.now();
      const wasPaused = now - lookedAt > 2 * RENEWAL_CHECK_INTERVAL_MS;
      const isOutage = follower.mode() === 'outage';
      outageSince = isOutage && !wasPaused ? (outageSince ?? now) : undefined;
      lookedAt = now;
      if (outageSince !== undefined && now - outageSince >= OUTAGE_CONFIRMATION_MS) {
        shards.forEach(({ holder }) => holder.extendShares(now + SHARE_OUTAGE_EXTENSION_MS));
      }
      await clock.sleep(RENEWAL_CHECK_INTERVAL_MS, stopping.signal);
    }
  };

  const refuseTake = (account: HeldAccount): Refusal => {
    const waitMs = Math.max(0, account.share.nextTokenDelayMs());
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMs / 1000));
    return refuse(account.share.isCurrent() ? 'rate-exceeded' : 'rate-unavailable', {
      retryAfterSeconds,
    });
  };
  return {
    async acquire({ name }): Promise<Result<Permit, Refusal>> {
      const number = getShard(name);
      const { holder } = shard(number);
      const account = holder.getAccount(name);
      account.arrivals.recordArrival();
      const waitUntil = clock.now() + HOME_WAIT_TIMEOUT_MS;
      for (let answers = 0; answers <= MAX_SHARE_REQUESTS;) {
        const generation = account.share.takeToken();
        if (generation !== undefined) return ok({ shard: number, generation });
        if (await holder.requestTokens(account)) {
          answers += 1;
          continue;
        }
        if (account.share.isCurrent() || clock.now() >= waitUntil || stopping.signal.aborted) break;
        await clock.sleep(HOME_RETRY_INTERVAL_MS, stopping.signal);
      }
      holder.recordRefusal(account);
      return err(refuseTake(account));
    },
    refund({ name }: Account, { shard: number, generation }) {
      shard(number).holder.getAccount(name).share.refundToken(generation);
    },
    handleRequest: (question) =>
      Promise.resolve(shard(question.shard).home.handleRequest(question)),
    start() {
      const numbers = Array.from({ length: SHARD_COUNT }, (_, number) => number);
      tasks = [
        renewHeldLeases(),
        ...numbers.map(watchLease),
        ...numbers.map(renewShares),
        extendShares(),
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
