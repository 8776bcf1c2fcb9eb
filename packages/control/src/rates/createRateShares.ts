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
import type { PeerCalls } from '../peers/PeerCalls.js';
import type { Permit, RateShares } from '../RateShares.js';
import type { Clock } from '../time/Clock.js';
import type { AccountLimits } from './createAccountBook.js';
import { createHome, type Home } from './createHome.js';
import { createHomeLease, type HomeLease } from './createHomeLease.js';
import { createHomeRoute } from './createHomeRoute.js';
import { createShardHolder, type HeldAccount, type ShardHolder } from './createShardHolder.js';
import { renewLeases } from './renewLeases.js';
import { LEASE_RENEWAL_MS, OUTAGE_EXTENSION_MS, SHARE_ANSWER_LIMIT_MS } from './limits.js';
import { homeCandidates, shardOf, SHARDS } from './shards.js';

/** What the rate shares need. */
export interface RateSharesParts {
  /** This process as the host list describes it. */
  readonly self: Member;
  /** Name and start of this process, so that a restarted one is another holder. */
  readonly incarnation: string;
  readonly table: Table;
  readonly membership: Membership;
  readonly follower: Follower;
  readonly peers: Pick<PeerCalls, 'share'>;
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
const MAX_ASKS = 4;

/**
 * Longest wait of a request for a home to be found. A shard has no home for a moment when a fleet
 * starts or a home is replaced; refusing at once would refuse callers within their rate. Unit: ms.
 */
const HOME_WAIT_MS = 2000;

/** Time between questions during that wait. Unit: ms. */
const HOME_LOOK_MS = 100;

/** Time between looks at the shares that are due. Unit: ms. */
const RENEWAL_LOOK_MS = 500;

/** An outage counts after this time, so that a short one never extends a share. Unit: ms. */
const OUTAGE_SURE_MS = 3000;

/**
 * Creates the rate shares of an entry host.
 *
 * @param parts - table, peers, members and time
 * @returns the rate shares, not started
 */
export const createRateShares = (parts: RateSharesParts): RateShares => {
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
    homeCandidates(shard, [...entryHosts().keys()]);
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
      [...(follower.latest()?.accounts.keys() ?? [])].filter((name) => shardOf(name) === shard);
    const home = createHome({ lease, clock, limitsOf, accounts });
    const route = createHomeRoute({ shard, table, candidates: () => candidateAddresses(shard) });
    const send = async (
      question: ShareRequest,
      failures: number,
    ): ReturnType<PeerCalls['share']> => {
      if (lease.inForce()) return ok(home.answer(question));
      const address = await route.find(failures);
      if (address === undefined || address === self.address) {
        route.learn(lease.homeAddress());
        return ok<ShareResponse>({ kind: 'not-home' });
      }
      const answer = await peers.share(address, question, SHARE_ANSWER_LIMIT_MS);
      const isHome = answer.isOk() && answer.value.kind === 'granted';
      const hint =
        answer.isOk() && answer.value.kind === 'not-home' ? answer.value.home : undefined;
      route.learn(isHome ? address : hint);
      return answer;
    };
    const holder = createShardHolder({ shard, incarnation, clock, metrics, limitsOf, send });
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
      const renewals = [...shards.values()].flatMap(({ lease }) => lease.renewal() ?? []);
      await renewLeases({ table, clock }, renewals);
      await clock.sleep(startedAt + LEASE_RENEWAL_MS - clock.now(), stopping.signal);
    }
  };
  const watchLease = async (number: number): Promise<void> => {
    // Spreads the looks at the shards over the period.
    await clock.sleep((LEASE_RENEWAL_MS * number) / SHARDS, stopping.signal);
    while (!stopping.signal.aborted) {
      const startedAt = clock.now();
      await shard(number).lease.look();
      // Later candidates look half as often, which halves the reads.
      const factor = (candidateRank(number) ?? 0) > 0 ? 2 : 1;
      await clock.sleep(startedAt + LEASE_RENEWAL_MS * factor - clock.now(), stopping.signal);
    }
  };
  const renewShares = async (number: number): Promise<void> => {
    while (!stopping.signal.aborted) {
      await shard(number).holder.renew();
      await clock.sleep(RENEWAL_LOOK_MS, stopping.signal);
    }
  };
  const extendShares = async (): Promise<void> => {
    let outageSince: number | undefined;
    let lookedAt = clock.now();
    while (!stopping.signal.aborted) {
      const now = clock.now();
      const wasPaused = now - lookedAt > 2 * RENEWAL_LOOK_MS;
      const isOutage = follower.mode() === 'outage';
      outageSince = isOutage && !wasPaused ? (outageSince ?? now) : undefined;
      lookedAt = now;
      if (outageSince !== undefined && now - outageSince >= OUTAGE_SURE_MS) {
        shards.forEach(({ holder }) => holder.extend(now + OUTAGE_EXTENSION_MS));
      }
      await clock.sleep(RENEWAL_LOOK_MS, stopping.signal);
    }
  };

  const refuseTake = (account: HeldAccount): Refusal => {
    const waitMs = Math.max(0, account.share.nextTokenMs());
    const retryAfterSeconds = Math.max(1, Math.ceil(waitMs / 1000));
    return refuse(account.share.isCurrent() ? 'rate-exceeded' : 'rate-unavailable', {
      retryAfterSeconds,
    });
  };
  return {
    async take({ name }): Promise<Result<Permit, Refusal>> {
      const number = shardOf(name);
      const { holder } = shard(number);
      const account = holder.account(name);
      account.arrivals.note();
      const waitUntil = clock.now() + HOME_WAIT_MS;
      for (let answers = 0; answers <= MAX_ASKS;) {
        const generation = account.share.take();
        if (generation !== undefined) return ok({ shard: number, generation });
        if (await holder.waitFor(account)) {
          answers += 1;
          continue;
        }
        if (account.share.isCurrent() || clock.now() >= waitUntil || stopping.signal.aborted) break;
        await clock.sleep(HOME_LOOK_MS, stopping.signal);
      }
      holder.noteRefused(account);
      return err(refuseTake(account));
    },
    putBack({ name }: Account, { shard: number, generation }) {
      shard(number).holder.account(name).share.putBack(generation);
    },
    answer: (question) => Promise.resolve(shard(question.shard).home.answer(question)),
    start() {
      const numbers = Array.from({ length: SHARDS }, (_, number) => number);
      tasks = [
        renewHeldLeases(),
        ...numbers.map(watchLease),
        ...numbers.map(renewShares),
        extendShares(),
      ];
    },
    async stop() {
      stopping.abort();
      await Promise.all([...shards.values()].map(({ holder }) => holder.giveUp()));
      await Promise.all([...shards.values()].map(({ lease, home }) => lease.release(home.free)));
      await Promise.all(tasks);
    },
  };
};
